package raft

// faults switch single safeguards off. Only tests set them: each must then be
// caught by the explorer or a directed test, which shows that the test can see
// the failure the safeguard is for.
type faults struct {
	// ackBeforeSync lets every message leave before the sync.
	ackBeforeSync bool
	// commitOldTerm commits entries of older terms by count.
	commitOldTerm bool
	// openChanges takes membership changes while others are open.
	openChanges bool
	// readUnchecked answers reads without a heartbeat round.
	readUnchecked bool
	// learnersCount counts learners in elections and commits.
	learnersCount bool
	// voteTwice forgets the vote within a term.
	voteTwice bool
	// voteBehind grants votes to candidates with an older log.
	voteBehind bool
	// emptyDiskVotes lets a replica without any entry vote.
	emptyDiskVotes bool
	// noProbation lets a restarted replica take part without asking what
	// others know of it.
	noProbation bool
	// keepConflict keeps entries that conflict with the leader's.
	keepConflict bool
	// leadForever drops the check-quorum and counts every heartbeat round as
	// answered when it dates the contact with a quorum.
	leadForever bool
}
