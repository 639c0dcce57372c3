package targetserver

import (
	"fmt"
	"strings"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Settings configures the behaviour of the target. POST /control replaces the
// fields that are present in its JSON body and keeps the others.
type Settings struct {
	// Version is the target version reported by GET /executions.
	Version checker.Version `json:"version"`
	// Slots is the maximum number of calls that run concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of open connections; zero means no limit.
	Connections int `json:"connections"`
	// Queue is the maximum number of calls that wait for a slot; further calls are
	// rejected with status 503.
	Queue int `json:"queue"`
	// WorkTime is the execution time of a call on a warm target.
	WorkTime checker.Duration `json:"workTime"`
	// ResponseBytes is the size of a response body.
	ResponseBytes int `json:"responseBytes"`
	// ColdTime is the duration of the warm-up after the start. More than ColdSlots
	// concurrent calls during the warm-up overload the target, and the warm-up restarts.
	ColdTime checker.Duration `json:"coldTime"`
	// ColdSlots is the number of concurrent calls that a cold target can handle.
	ColdSlots int `json:"coldSlots"`
	// ColdFactor multiplies WorkTime while a cold target is overloaded.
	ColdFactor int `json:"coldFactor"`
	// ReportLag is the age of the state that /health and /load report.
	ReportLag checker.Duration `json:"reportLag"`
	// Report falsifies the reports: "idle" reports no load, "full" reports all
	// slots in use, "healthy" and "unhealthy" report a fixed health. With "" the
	// reports are accurate.
	Report string `json:"report"`
	// Draining makes the target reject new calls with status 503.
	Draining bool `json:"draining"`
	// Faults are the faults to inject. The first one that matches a call applies.
	Faults []Fault `json:"faults"`
}

// The kinds of faults.
const (
	// FaultError responds with status 500 without running the call.
	FaultError = "error"
	// FaultSlow adds Delay to the execution time of the call.
	FaultSlow = "slow"
	// FaultHang runs the call and never responds.
	FaultHang = "hang"
	// FaultReset runs the call and closes the connection without a response.
	FaultReset = "reset"
	// FaultTruncate runs the call and closes the connection after half of the
	// response body.
	FaultTruncate = "truncate"
)

// Fault is a fault to inject. It applies to calls that meet all of its conditions.
type Fault struct {
	// Kind is one of the Fault constants.
	Kind string `json:"kind"`
	// After is the time from setting the fault until it takes effect.
	After checker.Duration `json:"after"`
	// AboveInFlight restricts the fault to times with more calls in flight.
	AboveInFlight int `json:"aboveInFlight"`
	// PathPrefix restricts the fault to paths with the prefix.
	PathPrefix string `json:"pathPrefix"`
	// Every restricts the fault to every nth call; zero and one mean all.
	Every uint64 `json:"every"`
	// Delay is the time that FaultSlow adds.
	Delay checker.Duration `json:"delay"`
}

// check validates the settings.
func (se *Settings) check() error {
	if se.Slots < 1 || se.Queue < 0 || se.ResponseBytes < 0 || se.Connections < 0 {
		return fmt.Errorf("slots %d, queue %d, responseBytes %d, connections %d: "+
			"slots must be at least 1, the others not negative",
			se.Slots, se.Queue, se.ResponseBytes, se.Connections)
	}
	switch se.Report {
	case "", "idle", "full", "healthy", "unhealthy":
	default:
		return fmt.Errorf("report %q is not \"\", idle, full, healthy or unhealthy", se.Report)
	}
	for _, fa := range se.Faults {
		switch fa.Kind {
		case FaultError, FaultSlow, FaultHang, FaultReset, FaultTruncate:
		default:
			return fmt.Errorf("fault kind %q does not exist", fa.Kind)
		}
	}
	return nil
}

// applies reports whether the fault applies to a call.
func (fa *Fault) applies(path string, inFlight int, count uint64, since time.Duration) bool {
	return since >= time.Duration(fa.After) && inFlight > fa.AboveInFlight &&
		strings.HasPrefix(path, fa.PathPrefix) &&
		(fa.Every <= 1 || count%fa.Every == 0)
}
