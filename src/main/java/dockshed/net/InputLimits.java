package dockshed.net;

/**
 * What the connections of one event loop share for their input.
 *
 * @param memory the limit of the memory that input takes
 * @param turns  the order in which messages are handled where there are too many for one turn of the event loop
 */
public record InputLimits(InputBudget memory, MessageTurns turns) {
    /** Limits with this budget of memory. */
    public InputLimits(InputBudget memory) {
        this(memory, new MessageTurns());
    }

    /** Limits of a process with a heap of this many bytes. */
    static InputLimits forHeap(long heapBytes) {
        return new InputLimits(InputBudget.forHeap(heapBytes));
    }

    /** Limits without one for memory. */
    public static InputLimits unlimitedMemory() {
        return new InputLimits(InputBudget.unlimited());
    }
}
