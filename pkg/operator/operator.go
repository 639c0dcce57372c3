// Package operator is the client of a node's operator interface, together with
// the types of its requests and answers.
//
// Any node answers for the whole mesh. All bodies are JSON with names in camel
// case; durations are strings such as "2s" and times are in RFC 3339.
package operator

import (
	"net/netip"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Paths of the operator interface.
const (
	PathConfiguration = "/v1/configuration"
	PathCheck         = "/v1/check"
	PathPublish       = "/v1/publish"
	PathChoose        = "/v1/choose"
	PathMoves         = "/v1/moves"
	PathStatus        = "/v1/status"
	PathMesh          = "/v1/mesh"
	PathConvergence   = "/v1/convergence"
	PathDataCentres   = "/v1/dataCentres/"
	PathDrain         = "/v1/drain"
	PathMetrics       = "/metrics"
)

// Configuration is the configuration in force at the node that answers.
type Configuration struct {
	Revision checker.Revision  `json:"revision"`
	Document *checker.Document `json:"document,omitempty"`
}

// Publication replaces the whole configuration.
type Publication struct {
	// ID is made by the client. A resend with the same ID has no further effect.
	ID string `json:"id"`
	// Base is the revision that the publication builds on. A publication on an
	// older revision than the one in force is refused.
	Base checker.Revision `json:"base"`
	// Document is the new configuration.
	Document *checker.Document `json:"document"`
}

// Choice changes the choice of one service; empty fields stay as they are.
type Choice struct {
	// ID is made by the client. A resend with the same ID has no further effect.
	ID string `json:"id"`
	// Base is the revision that the choice builds on.
	Base checker.Revision `json:"base"`
	// Service names the service.
	Service checker.Service `json:"service"`
	// Profile is the profile to follow.
	Profile string `json:"profile,omitempty"`
	// Version is the target version to move to.
	Version checker.Version `json:"version,omitempty"`
	// Deadline is the time by which the move must be done; zero means none.
	Deadline time.Time `json:"deadline,omitzero"`
}

// Accepted answers a publication or choice that is in force at the node.
type Accepted struct {
	ID       string           `json:"id"`
	Revision checker.Revision `json:"revision"`
	// Move is the rollout that the choice started; zero if none.
	Move checker.MoveID `json:"move,omitempty"`
}

// Move is a rollout and how far it has come.
type Move struct {
	ID       checker.MoveID  `json:"id"`
	Service  checker.Service `json:"service"`
	From     checker.Version `json:"from"`
	To       checker.Version `json:"to"`
	Started  time.Time       `json:"started"`
	Deadline time.Time       `json:"deadline,omitzero"`
	// Phase is pending, done, takenBack or superseded.
	Phase string `json:"phase"`
	// Reason says why the move was taken back.
	Reason string `json:"reason,omitempty"`
	// DataCentres holds the progress in each data centre that has begun.
	DataCentres []MoveProgress `json:"dataCentres"`
}

// MoveProgress is the progress of a move in one data centre.
type MoveProgress struct {
	DataCentre checker.DataCentre `json:"dataCentre"`
	Step       int                `json:"step"`
	// Share is the share of calls for the new version, 0 to 1.
	Share float64 `json:"share"`
}

// Convergence says where a revision is in force.
type Convergence struct {
	Revision checker.Revision `json:"revision"`
	// Everywhere says that every live node of every known data centre has
	// applied the revision.
	Everywhere  bool                  `json:"everywhere"`
	DataCentres []DataCentreRevisions `json:"dataCentres"`
}

// DataCentreRevisions sums up the revisions that a data centre's nodes applied.
type DataCentreRevisions struct {
	DataCentre checker.DataCentre `json:"dataCentre"`
	Nodes      int                `json:"nodes"`
	// Minimum is the lowest revision that a live node has applied.
	Minimum checker.Revision `json:"minimum"`
	// Behind lists some of the nodes below the revision or out of reach.
	Behind []netip.AddrPort `json:"behind,omitempty"`
	// Age is the age of the report.
	Age checker.Duration `json:"age"`
}

// Status is the status of one node.
type Status struct {
	Node       netip.AddrPort     `json:"node"`
	Build      string             `json:"build"`
	DataCentre checker.DataCentre `json:"dataCentre"`
	Region     checker.Region     `json:"region,omitempty"`
	Service    checker.Service    `json:"service,omitempty"`
	Version    checker.Version    `json:"version,omitempty"`
	Revision   checker.Revision   `json:"revision"`
	// Ready says that the node has a configuration and takes calls.
	Ready bool `json:"ready"`
	// Stale says that the node could not confirm with a peer or the log that
	// its configuration is the newest.
	Stale    bool `json:"stale"`
	Draining bool `json:"draining"`
	// LogReachable says that the node's last request to the log was answered.
	// Nodes that are not readers of the log report the state of their last append.
	LogReachable bool `json:"logReachable"`
	// Limit is the concurrency granted to the node's target.
	Limit int `json:"limit"`
	// InFlight is the number of calls at the node's target.
	InFlight int `json:"inFlight"`
	// Cold says that the target is warming up.
	Cold bool `json:"cold"`
	// Violations counts invariants that were found broken; it must be zero.
	Violations int64 `json:"violations"`
}

// Mesh is the mesh as the answering node sees it.
type Mesh struct {
	Revision    checker.Revision `json:"revision"`
	DataCentres []DataCentre     `json:"dataCentres"`
	Members     []Member         `json:"members"`
}

// DataCentre is a data centre as the answering node sees it.
type DataCentre struct {
	Name  checker.DataCentre `json:"name"`
	Out   bool               `json:"out"`
	Alive int                `json:"alive"`
	Known int                `json:"known"`
}

// Member is a node as the answering node sees it.
type Member struct {
	Node       netip.AddrPort     `json:"node"`
	State      string             `json:"state"`
	DataCentre checker.DataCentre `json:"dataCentre"`
	Service    checker.Service    `json:"service,omitempty"`
	Version    checker.Version    `json:"version,omitempty"`
	Draining   bool               `json:"draining"`
}

// DataCentreChange takes a data centre out or back in.
type DataCentreChange struct {
	Out bool `json:"out"`
}

// DataCentreAnswer answers a [DataCentreChange].
type DataCentreAnswer struct {
	DataCentre checker.DataCentre `json:"dataCentre"`
	Out        bool               `json:"out"`
	Epoch      uint64             `json:"epoch"`
	// Logged says that the platform's log holds the change. Without it the
	// change is in force from node to node and is appended when the log returns.
	Logged bool `json:"logged"`
}

// Error is the answer to a request that failed.
type Error struct {
	// Kind is one of the closed list of error kinds, such as "staleRevision".
	Kind string `json:"error"`
	// Message says what failed and what to do.
	Message string `json:"message"`
	// Faults lists what is wrong with a document.
	Faults checker.Faults `json:"faults,omitempty"`
}

// Error returns the kind and the message.
func (er *Error) Error() string {
	return er.Kind + ": " + er.Message
}
