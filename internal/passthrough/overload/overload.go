// Package overload holds the switches of overload control: what balancers and agents do
// while links, targets or callers' shares are short.
package overload

// Settings says which parts are in force. Each part takes effect only where a route or a
// VM's settings call for it in addition; the zero value turns all of them off.
type Settings struct {
	// LinkQueues makes a balancer account for the queue of its own link, by what it sends if
	// the link's rate is stated, and by the age of answers.
	LinkQueues bool
	// BulkAdmission bounds the bulk flows in progress through a balancer, and makes agents
	// count them apart. It concerns routes of a bulk kind only.
	BulkAdmission bool
	// CallerGoals makes the routes' response-time goals and timeouts decide how long a
	// caller may wait and in which order.
	CallerGoals bool
	// FairShares divides what is short among the clients of equally urgent routes.
	FairShares bool
	// LearnedCapacity makes agents learn how many requests their targets run well.
	LearnedCapacity bool
	// BulkStaysNear keeps flows with large bodies or responses in their data centre for
	// longer, also where no route is of a bulk kind.
	BulkStaysNear bool
}
