package raft

// faults disables single safeguards. Only tests set them. The explorer or a directed test
// must then fail, which shows that it can detect the failure that the safeguard prevents.
type faults struct {
	// ackBeforeSync sends all messages before the sync.
	ackBeforeSync bool
	// commitOldTerm commits entries of older terms by counting replicas.
	commitOldTerm bool
	// concurrentChanges accepts a membership change while another is uncommitted.
	concurrentChanges bool
	// unconfirmedReads answers reads without a heartbeat round.
	unconfirmedReads bool
	// countLearners counts learners in elections and commits.
	countLearners bool
	// voteTwice forgets the vote within a term.
	voteTwice bool
	// voteForOlderLog grants votes to candidates with an older log.
	voteForOlderLog bool
	// emptyDiskVotes lets a replica without any entry vote.
	emptyDiskVotes bool
	// noRecovery lets a restarted replica take part without asking its peers what they
	// know of it.
	noRecovery bool
	// keepConflict keeps entries that conflict with the leader's.
	keepConflict bool
	// noCheckQuorum disables check-quorum and treats every heartbeat round as answered
	// when it updates the quorum contact time.
	noCheckQuorum bool
}
