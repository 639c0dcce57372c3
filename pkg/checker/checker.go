// Package checker defines and validates the configuration that operators publish.
//
// A [Document] holds named profiles and the services that use them. [Decode] reads
// a document from JSON, rejects unknown fields, and reports every fault with the
// path of its field.
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

// Revision is the number of a configuration: the log offset of the last record
// that changed it, plus one. Zero means no configuration.
type Revision uint64

// MoveID identifies a move, the rollout of a target version. Later moves have
// greater IDs; zero means no move.
type MoveID uint64

// NodeID identifies a node by the address at which its peers reach it.
type NodeID = netip.AddrPort

// Document is a complete configuration.
type Document struct {
	Profiles map[string]Profile `json:"profiles"`
	Services map[Service]Choice `json:"services"`
}

// Choice is the configuration of one service: its profile, version and routes.
type Choice struct {
	// Profile names the profile that applies to the service.
	Profile string `json:"profile"`
	// Version is the target version that serves the traffic once every move is done.
	Version Version `json:"version"`
	// Deadline is the time by which a move to Version must be done. If it is zero,
	// only the profile's rollout settings determine the pace.
	Deadline time.Time `json:"deadline,omitzero"`
	// Routes are matched in order; the first match wins. A call that matches no
	// route is rejected.
	Routes []Route `json:"routes"`
}

// Route defines how matching calls are handled.
type Route struct {
	// Name is unique within the service.
	Name string `json:"name"`
	// PathPrefix is matched against the call's path.
	PathPrefix string `json:"pathPrefix"`
	// Methods lists the HTTP methods that match; empty matches all.
	Methods []string `json:"methods,omitempty"`
	// Idempotent states that executing a call more than once has no further effect.
	Idempotent bool `json:"idempotent"`
	// Timeout limits a call whose caller sets no earlier deadline.
	Timeout Duration `json:"timeout"`
	// Once selects how a call that the caller resends with the same idempotency key
	// is detected: "" disables detection, "memory" uses the memory of the node that
	// owns the key, and "log" uses a claim in the platform's log.
	Once string `json:"once,omitempty"`
	// Versions restricts the route to these target versions; empty allows all.
	Versions []Version `json:"versions,omitempty"`
}

// Profile is a traffic policy that services refer to by name.
type Profile struct {
	Routing     Routing     `json:"routing"`
	Rollout     Rollout     `json:"rollout"`
	Limits      Limits      `json:"limits"`
	Retries     Retries     `json:"retries"`
	DataCentres DataCentres `json:"dataCentres"`
}

// Routing configures the selection of a target for a call.
type Routing struct {
	// LocalShare is the utilisation, 0 to 1, up to which calls stay in the
	// data centre they arrived in.
	LocalShare float64 `json:"localShare"`
	// HealthyFloor is a share of the known targets, 0 to 1. If fewer are healthy,
	// failure reports are ignored: wrong reports are then more likely than that
	// many failed targets.
	HealthyFloor float64 `json:"healthyFloor"`
	// Hedge allows a second attempt for idempotent calls whose response is late.
	Hedge bool `json:"hedge"`
}

// Rollout configures the pace and the fault thresholds of a move to a new target
// version.
type Rollout struct {
	// Steps are the shares of traffic in increasing order; the last is 1.
	Steps []float64 `json:"steps"`
	// StepTime is the minimum duration of each step.
	StepTime Duration `json:"stepTime"`
	// MinCalls is the minimum number of calls to observe at each step.
	MinCalls int `json:"minCalls"`
	// MaxErrorIncrease is the increase of the error rate, 0 to 1, that counts as a
	// fault.
	MaxErrorIncrease float64 `json:"maxErrorIncrease"`
	// MaxLatencyFactor is the factor by which latency may increase.
	MaxLatencyFactor float64 `json:"maxLatencyFactor"`
	// QuietAfter is the time after which a step that has not reached MinCalls is
	// decided with the calls observed so far. It serves services with little traffic.
	QuietAfter Duration `json:"quietAfter"`
}

// Limits configures the limits on the load of each target.
type Limits struct {
	// InitialConcurrency is the concurrency limit of a newly started target.
	InitialConcurrency int `json:"initialConcurrency"`
	// WarmTime is the time after which a newly started target without signs of
	// overload no longer counts as cold; zero means 30 s.
	WarmTime Duration `json:"warmTime,omitempty"`
	// MaxConcurrency limits the concurrency of a warm target; zero means its slots.
	MaxConcurrency int `json:"maxConcurrency,omitempty"`
	// QueueTime is the maximum wait for a free slot at the target's node.
	QueueTime Duration `json:"queueTime"`
	// MaxBodyBytes is the size limit of a call's body.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
}

// Retries configures the limits on attempts after the first.
type Retries struct {
	// BudgetRatio is the number of retries allowed per first attempt, 0 to 1.
	BudgetRatio float64 `json:"budgetRatio"`
	// MaxAttempts limits the attempts of one call at one node.
	MaxAttempts int `json:"maxAttempts"`
}

// DataCentres configures how data centres return to service and share load.
type DataCentres struct {
	// ReturnTime is the duration of the ramp of a data centre that returns to
	// service.
	ReturnTime Duration `json:"returnTime"`
	// Spill allows calls to leave their data centre when it is full or out of
	// service.
	Spill bool `json:"spill"`
}
