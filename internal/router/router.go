// Package router decides which target takes a call.
//
// A [Table] is immutable and built from one configuration and one view of the
// members; every reference in it resolves when it is built. [Table.Plan]
// matches the route and assigns the version of a call, [Table.Pick] chooses
// the endpoint of one attempt. [Loads] outlives the tables and holds what this
// node knows of the load of every other node. All of them are safe for
// concurrent use.
package router

import (
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Endpoint is one target of a service, reached through its node.
type Endpoint struct {
	// Node is the node next to the target.
	Node checker.NodeID
	// DataCentre is where the target runs.
	DataCentre checker.DataCentre
	// Region is the region of the data centre.
	Region checker.Region
	// Service is the service that the target belongs to.
	Service checker.Service
	// Version is the target version.
	Version checker.Version
	// Slots is the number of calls that the target can run at once.
	Slots int
	// Connections is the number of connections that the target accepts.
	Connections int
	// Draining says that the node is leaving and takes no new work.
	Draining bool
	// Suspect says that the node is suspected to have failed. It gets no calls
	// while suspicion is believed, but stays the owner of its keys.
	Suspect bool
	// Dead says that the suspicion was not refuted in time. The endpoint then
	// counts as suspect and owns no keys either.
	Dead bool
	// Started is when this node first heard of the present incarnation of the
	// endpoint; zero if it is unknown. Reports older than that are ignored.
	Started time.Time
}

// Split says how the calls of a service divide between two versions in the
// data centre of this node.
type Split struct {
	// Move is the move under way; zero if there is none.
	Move checker.MoveID
	// Old is the version that calls use when New does not apply.
	Old checker.Version
	// New is the version being rolled out; empty if there is none.
	New checker.Version
	// Share is the share of calls, 0 to 1, that use New.
	Share float64
}

// Mark says whether operators have taken a data centre out.
type Mark struct {
	// Out says that the data centre gets no new work.
	Out bool
	// Since is when this node learnt of the mark; while Out is false, the
	// return of the data centre is ramped from that time. A zero Since means
	// that no ramp applies.
	Since time.Time
}

// Splitter assigns the calls of a move to its new version.
type Splitter interface {
	// UseNew reports whether the next call of the move uses the new version,
	// such that the given share of the calls does.
	UseNew(move checker.MoveID, share float64, now time.Time) bool
}

// Config is what a [Table] is built from.
type Config struct {
	// Self is the node that routes.
	Self checker.NodeID
	// DataCentre is the data centre of Self.
	DataCentre checker.DataCentre
	// Region is the region of Self.
	Region checker.Region
	// Document is the configuration. The table keeps references to it, so it
	// must not change.
	Document *checker.Document
	// Endpoints holds every known endpoint of every service.
	Endpoints []Endpoint
	// Splits holds the split of each service in this data centre. A service
	// without one uses the version that its configuration chooses.
	Splits map[checker.Service]Split
	// Marks holds the data centre marks.
	Marks map[checker.DataCentre]Mark
	// Splitter assigns calls to the new version of a move. It may be nil if no
	// split has a share between 0 and 1.
	Splitter Splitter
}

// Call is what routing needs to know about a call.
type Call struct {
	// Service names the service.
	Service checker.Service
	// Method is the HTTP method.
	Method string
	// Path is the path of the URL.
	Path string
	// Key is the caller's idempotency key; empty if there is none.
	Key string
}

// Plan is how a call is handled; all attempts of the call share it.
type Plan struct {
	// Service is the called service.
	Service checker.Service
	// Route is the matched route. It must not be changed.
	Route *checker.Route
	// Profile is the profile of the service. It must not be changed.
	Profile *checker.Profile
	// Move is the move under way in the service; zero if there is none.
	Move checker.MoveID
	// Version is the version assigned to the call. The endpoint of an attempt
	// may have another one if this version has no endpoint left.
	Version checker.Version
	// New says that Version is the new version of the move.
	New bool
	// Owned says that the call goes to the owner of its key.
	Owned bool

	keyHash  uint64
	table    *Table
	route    *route
	pool     *pool
	fallback *pool
}

// Report is what one response says about the load of a node.
type Report struct {
	// Latency is the time from sending the call to the end of the response;
	// zero if it is unknown or says nothing, as for a cancelled call.
	Latency time.Duration
	// InFlight is the number of calls in flight at the target.
	InFlight int
	// Limit is the concurrency limit of the target; zero if the response
	// carried no load.
	Limit int
	// Cold says that the target is warming up.
	Cold bool
	// Rejected says that the node refused the call because of its limit.
	Rejected bool
	// Failed says that the attempt failed in another way.
	Failed bool
}
