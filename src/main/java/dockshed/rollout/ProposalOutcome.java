package dockshed.rollout;

/** How a proposal ended. */
public sealed interface ProposalOutcome {
    /** A majority of the voters voted for the content. */
    record Chosen() implements ProposalOutcome {}

    /** The version is not the next one; nothing was put to the vote. */
    record NotNextVersion(long expectedVersion) implements ProposalOutcome {}

    /** Another content, {@code chosen}, was chosen for this version. */
    record OtherContentChosen(ConfigurationId chosen) implements ProposalOutcome {}

    /**
     * The votes are split, or the voters have gone on to a later version: the version is used up; {@code nextVersion}
     * may be proposed.
     */
    record SplitVote(long nextVersion) implements ProposalOutcome {}

    /** A majority of the voters refused the content because their programs cannot use it. */
    record Invalid() implements ProposalOutcome {}

    /**
     * Too few voters answered before the deadline: the content may still be chosen if it is proposed again unchanged.
     *
     * @param votes  received for the content
     * @param needed votes of a majority
     */
    record Undecided(int votes, int needed) implements ProposalOutcome {}

    /**
     * Not put to the vote: this broker is no voter, another proposal is in progress here, or this broker's program
     * cannot use the content.
     */
    record Rejected(String reason) implements ProposalOutcome {}
}
