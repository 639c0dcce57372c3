// Package checker defines the configuration that operators publish and checks it.
//
// A [Document] holds named profiles and the services that pick one of them.
// [Decode] reads a document from JSON, refuses unknown fields, and reports
// every fault it finds with the field it stands in.
package checker

import (
	"net/netip"
	"time"
)

// DataCentre is the name of a data centre.
type DataCentre string

// Region is the name of a group of data centres that share a long-distance link.
type Region string

// Service is the name of a service.
type Service string

// Version is the name of a target version of a service.
type Version string

// Revision is a configuration version: the log offset of the last record
// that changed the configuration, plus one. Zero means no configuration.
type Revision uint64

// MoveID identifies a move, the rollout of a target version. Later moves have
// greater IDs; zero is no move.
type MoveID uint64

// NodeID identifies a node by the address its peers reach it at.
type NodeID = netip.AddrPort

// Document is a whole configuration.
type Document struct {
	// Profiles holds the named profiles.
	Profiles map[string]Profile `json:"profiles"`
	// Services holds the services and their choices.
	Services map[Service]Choice `json:"services"`
}

// Choice is what a service picks: a profile, a version and its routes.
type Choice struct {
	// Profile names the profile the service follows.
	Profile string `json:"profile"`
	// Version is the target version that serves the traffic once every move is done.
	Version Version `json:"version"`
	// Deadline is the time by which a move to Version must be done. Zero means
	// the profile's rollout pace alone decides.
	Deadline time.Time `json:"deadline,omitzero"`
	// Routes are matched in order; the first match wins. A call that matches
	// none is refused.
	Routes []Route `json:"routes"`
}

// Route says how one kind of call is handled.
type Route struct {
	// Name is unique within the service.
	Name string `json:"name"`
	// PathPrefix is matched against the call's path.
	PathPrefix string `json:"pathPrefix"`
	// Methods lists the HTTP methods matched; empty matches all.
	Methods []string `json:"methods,omitempty"`
	// Idempotent says that running a call twice does no harm.
	Idempotent bool `json:"idempotent"`
	// Timeout bounds a call whose caller sets no shorter deadline.
	Timeout Duration `json:"timeout"`
	// Once says how a caller's own resend with the same idempotency key is
	// recognised: "" not at all, "memory" by the key's owner among the nodes,
	// "log" by a claim in the platform's log.
	Once string `json:"once,omitempty"`
	// Versions restricts the route to these target versions; empty allows all.
	Versions []Version `json:"versions,omitempty"`
}

// Profile is a named set of decisions about traffic.
type Profile struct {
	// Routing decides which target takes a call.
	Routing Routing `json:"routing"`
	// Rollout decides the pace and guard of a move.
	Rollout Rollout `json:"rollout"`
	// Limits bounds the load on each target.
	Limits Limits `json:"limits"`
	// Retries bounds the extra attempts.
	Retries Retries `json:"retries"`
	// DataCentres decides how data centres leave, return and share load.
	DataCentres DataCentres `json:"dataCentres"`
}

// Routing decides which target takes a call.
type Routing struct {
	// LocalShare is the utilisation, 0 to 1, up to which calls stay in the
	// data centre they arrived in.
	LocalShare float64 `json:"localShare"`
	// HealthyFloor is the share of known targets, 0 to 1, below which
	// failure reports are ignored because the reports are the likelier fault.
	HealthyFloor float64 `json:"healthyFloor"`
	// Hedge allows a second attempt for idempotent calls that are late.
	Hedge bool `json:"hedge"`
}

// Rollout decides the pace and guard of a move to a new target version.
type Rollout struct {
	// Steps are the shares of traffic, in rising order, ending in 1.
	Steps []float64 `json:"steps"`
	// StepTime is the shortest time at each step.
	StepTime Duration `json:"stepTime"`
	// MinCalls is the least number of calls of evidence at each step.
	MinCalls int `json:"minCalls"`
	// MaxErrorIncrease is the rise of the error share that counts as a fault.
	MaxErrorIncrease float64 `json:"maxErrorIncrease"`
	// MaxLatencyFactor is the factor by which latency may rise.
	MaxLatencyFactor float64 `json:"maxLatencyFactor"`
	// QuietAfter is how long a step without MinCalls may last before the move
	// goes on with the evidence there is; used by services with little traffic.
	QuietAfter Duration `json:"quietAfter"`
}

// Limits bounds the load on each target.
type Limits struct {
	// InitialConcurrency is the concurrency granted to a freshly started target.
	InitialConcurrency int `json:"initialConcurrency"`
	// WarmTime is the time after which a freshly started target without signs
	// of overload no longer counts as cold; zero means 30 s.
	WarmTime Duration `json:"warmTime,omitempty"`
	// MaxConcurrency bounds the concurrency of a warm target; zero means its slots.
	MaxConcurrency int `json:"maxConcurrency,omitempty"`
	// QueueTime is the longest wait for a free slot at the target's node.
	QueueTime Duration `json:"queueTime"`
	// MaxBodyBytes bounds the body of a call.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
}

// Retries bounds the extra attempts.
type Retries struct {
	// BudgetRatio is the number of retries allowed per first attempt, 0 to 1.
	BudgetRatio float64 `json:"budgetRatio"`
	// MaxAttempts bounds the attempts of one call at one node.
	MaxAttempts int `json:"maxAttempts"`
}

// DataCentres decides how data centres leave, return and share load.
type DataCentres struct {
	// ReturnTime is the length of the ramp of a data centre that comes back.
	ReturnTime Duration `json:"returnTime"`
	// Spill allows calls to leave their data centre when it is full or out.
	Spill bool `json:"spill"`
}
