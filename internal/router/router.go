// Package router selects the target of each call.
//
// A [Table] is immutable. It is built from one configuration and one snapshot
// of the membership, and all of its references are resolved at that time.
// [Table.Plan] matches the route and assigns the version of a call,
// [Table.Pick] selects the endpoint for one attempt. [Loads] tracks the load of
// every node and is shared by successive tables. All of them are safe for
// concurrent use.
package router

import (
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Endpoint is one target of a service, reached through its node.
type Endpoint struct {
	// Node is the node that runs alongside the target.
	Node checker.NodeID
	// DataCentre is the data centre of the target.
	DataCentre checker.DataCentre
	// Region is the region of the data centre.
	Region checker.Region
	// Service is the service that the target belongs to.
	Service checker.Service
	// Version is the target version.
	Version checker.Version
	// Slots is the number of calls that the target can execute concurrently.
	Slots int
	// Connections is the number of connections that the target accepts.
	Connections int
	// Draining says that the node is shutting down and accepts no new calls.
	Draining bool
	// Suspect says that the node is suspected to have failed. It remains the
	// owner of its keys but gets no other calls, unless too few endpoints of
	// the version are healthy.
	Suspect bool
	// Dead says that the suspicion was not refuted in time. The endpoint is
	// treated as suspect and owns no keys.
	Dead bool
	// Started is when this node first learned of the current incarnation of the
	// endpoint; zero if unknown. Older load reports are ignored.
	Started time.Time
}

// Split is the division of the calls of a service between two versions in the
// data centre of this node.
type Split struct {
	// Move is the move in progress; zero if there is none.
	Move checker.MoveID
	// Old is the version of the calls that do not use New.
	Old checker.Version
	// New is the version being rolled out; empty if there is none.
	New checker.Version
	// Share is the share of calls, 0 to 1, that use New.
	Share float64
}

// Mark records whether operators have taken a data centre out of service.
type Mark struct {
	// Out says that the data centre gets no new calls.
	Out bool
	// Since is when this node learned of the mark. While Out is false, traffic
	// to the data centre ramps up from that time. A zero Since means no ramp.
	Since time.Time
}

// Splitter decides which calls of a move use its new version.
type Splitter interface {
	// UseNew reports whether the next call of the move uses the new version. It
	// returns true for the given share of the calls.
	UseNew(move checker.MoveID, share float64, now time.Time) bool
}

// Config holds the inputs of [NewTable].
type Config struct {
	// Self is the node that routes the calls.
	Self checker.NodeID
	// DataCentre is the data centre of Self.
	DataCentre checker.DataCentre
	// Region is the region of Self.
	Region checker.Region
	// Document is the configuration. The table keeps references to it, so it
	// must not be modified.
	Document *checker.Document
	// Endpoints holds the known endpoints of all services.
	Endpoints []Endpoint
	// Splits holds the split of each service in this data centre. A service
	// without a split uses the version in its configuration.
	Splits map[checker.Service]Split
	// Marks holds the mark of each data centre.
	Marks map[checker.DataCentre]Mark
	// Splitter assigns calls to the new version of a move. It may be nil if no
	// split has a share strictly between 0 and 1.
	Splitter Splitter
}

// Call holds the properties of a call that routing depends on.
type Call struct {
	// Service is the name of the service.
	Service checker.Service
	// Method is the HTTP method.
	Method string
	// Path is the URL path.
	Path string
	// Key is the caller's idempotency key; empty if there is none.
	Key string
}

// Plan is the routing decision for a call, shared by all of its attempts.
type Plan struct {
	// Service is the called service.
	Service checker.Service
	// Route is the matched route. It must not be modified.
	Route *checker.Route
	// Profile is the profile of the service. It must not be modified.
	Profile *checker.Profile
	// Move is the move of the service in progress; zero if there is none.
	Move checker.MoveID
	// Version is the version assigned to the call. An attempt may use an
	// endpoint of the other version if this one has no untried endpoint.
	Version checker.Version
	// New says that Version is the new version of the move.
	New bool
	// Owned says that the call must go to the owner of its key.
	Owned bool

	keyHash  uint64
	table    *Table
	route    *route
	pool     *pool
	fallback *pool
}

// Report is the load information that one response carries about a node.
type Report struct {
	// Latency is the time from sending the call to the end of the response;
	// zero if it is unknown or not meaningful, as for a cancelled call.
	Latency time.Duration
	// InFlight is the number of calls in flight at the target.
	InFlight int
	// Limit is the concurrency limit of the target; zero if the response
	// carried no load.
	Limit int
	// Cold says that the target is warming up.
	Cold bool
	// Rejected says that the node refused to admit the call, for example
	// because it was overloaded or draining.
	Rejected bool
	// Failed says that the attempt failed for any other reason.
	Failed bool
}
