package dockshed.rollout;

/** How a proposal ended. */
public sealed interface ProposalOutcome {
    /** A majority of the voters voted for it. */
    record Chosen() implements ProposalOutcome {}

    /** Its number is not the next: nothing was put to the vote. */
    record NotNextVersion(long expectedVersion) implements ProposalOutcome {}

    /** Another content was chosen for this version. */
    record OtherContentChosen(ConfigurationId chosen) implements ProposalOutcome {}

    /** Voters are split, or went on to a later version: the number is used up; {@code next} may be proposed. */
    record SplitVote(long nextVersion) implements ProposalOutcome {}

    /** A majority of the voters refused the content, as they cannot use it. */
    record Invalid() implements ProposalOutcome {}

    /** Too few voters answered in time: it may still be chosen if it is proposed again unchanged. */
    record Undecided(int votes, int needed) implements ProposalOutcome {}

    /** Not put to the vote: this broker is no voter, another proposal is under way here, or the content is refused here. */
    record Rejected(String reason) implements ProposalOutcome {}
}
