package dockshed.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The limits of the memory that input takes on all connections together. */
class InputBudgetTest {
    private static final int HALF = 1000; // of the budget: for incomplete messages, and for waiting requests

    private final InputBudget budget = new InputBudget(2 * HALF);
    private final List<String> dropped = new ArrayList<>();

    private InputBudget.Account open(String name) {
        return budget.open(() -> dropped.add(name));
    }

    @Test
    void aConnectionWithMuchWaitingLeavesRoomForTheOthers() {
        // Guards against one connection that takes all the memory for waiting requests.
        InputBudget.Account heavy = open("heavy");
        while (heavy.reserve(10)) {
            assertTrue(budget.usedBytes() <= HALF);
        }
        InputBudget.Account light = open("light");
        assertTrue(light.reserve(10));
        assertFalse(heavy.reserve(10));
    }

    @Test
    void waitingRequestsNeverExceedTheirLimitAndAreReleased() {
        List<InputBudget.Account> accounts = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            InputBudget.Account account = open("a" + i);
            accounts.add(account);
            while (account.reserve(7)) {
                assertTrue(budget.usedBytes() <= HALF);
            }
        }
        accounts.forEach(InputBudget.Account::close);
        assertEquals(0, budget.usedBytes());
        assertTrue(open("next").reserve(HALF / 2));
    }

    @Test
    void theMessageThatIsIncompleteForLongestIsDroppedFirst() {
        InputBudget.Account slow = open("slow");
        InputBudget.Account other = open("other");
        slow.setIncomplete(400);
        other.setIncomplete(400);
        slow.setIncomplete(500); // still the same message
        open("new").setIncomplete(200);
        assertEquals(List.of("slow"), dropped);
        assertEquals(600, budget.usedBytes());
    }

    @Test
    void aMessageThatCompletesLosesItsPlace() {
        InputBudget.Account first = open("first");
        InputBudget.Account second = open("second");
        first.setIncomplete(400);
        second.setIncomplete(400);
        first.setIncomplete(0);
        first.setIncomplete(400);
        open("new").setIncomplete(400);
        assertEquals(List.of("second"), dropped);
    }

    @Test
    void incompleteMessagesAndWaitingRequestsDoNotCrowdOutEachOther() {
        InputBudget.Account writer = open("writer");
        writer.setIncomplete(HALF);
        assertTrue(open("reader").reserve(HALF / 2));
        assertEquals(List.of(), dropped);
    }

    @Test
    void closingAnAccountTwiceReleasesItsMemoryOnce() {
        InputBudget.Account account = open("a");
        InputBudget.Account other = open("b");
        assertTrue(account.reserve(100) && other.reserve(50));
        account.setIncomplete(30);
        account.close();
        account.close();
        assertEquals(50, budget.usedBytes());
    }
}
