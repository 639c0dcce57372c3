package targetserver

import (
	"fmt"
	"strings"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Settings is how the target behaves. POST /control replaces the fields that
// its JSON body names and keeps the others.
type Settings struct {
	// Version is the target version that responses name.
	Version checker.Version `json:"version"`
	// Slots is the number of calls that run at once.
	Slots int `json:"slots"`
	// Connections is the number of connections accepted; zero is no bound.
	Connections int `json:"connections"`
	// Queue is the number of calls that wait for a slot; more are shed with
	// status 503.
	Queue int `json:"queue"`
	// WorkTime is how long a call runs on a warm target.
	WorkTime checker.Duration `json:"workTime"`
	// ResponseBytes is the size of a response body.
	ResponseBytes int `json:"responseBytes"`
	// ColdTime is how long the target takes to warm up after its start. It
	// warms up only while its load stays within ColdSlots; more calls at once
	// make it collapse, which starts the warm-up again.
	ColdTime checker.Duration `json:"coldTime"`
	// ColdSlots is the number of calls at once that a cold target can bear.
	ColdSlots int `json:"coldSlots"`
	// ColdFactor is how many times longer a call runs on a collapsed target.
	ColdFactor int `json:"coldFactor"`
	// ReportLag is the age of what /health and /load report.
	ReportLag checker.Duration `json:"reportLag"`
	// Report makes the reports mislead: "idle" reports no load, "full" reports
	// all slots taken, "healthy" and "unhealthy" fix the health; "" is honest.
	Report string `json:"report"`
	// Draining makes the target refuse new calls with status 503.
	Draining bool `json:"draining"`
	// Faults are the faults; each call meets the first one that applies.
	Faults []Fault `json:"faults"`
}

// The kinds of faults.
const (
	// FaultError answers with status 500 without running the call.
	FaultError = "error"
	// FaultSlow adds Delay to the call.
	FaultSlow = "slow"
	// FaultHang runs the call and never answers.
	FaultHang = "hang"
	// FaultReset runs the call and closes the connection without an answer.
	FaultReset = "reset"
	// FaultTruncate runs the call and breaks off half-way through the response.
	FaultTruncate = "truncate"
)

// Fault is a fault and when it applies. Its conditions hold together.
type Fault struct {
	// Kind is one of the kinds of faults.
	Kind string `json:"kind"`
	// After is how long after its setting the fault begins; zero is at once.
	After checker.Duration `json:"after"`
	// AboveInFlight restricts the fault to more calls in flight than that.
	AboveInFlight int `json:"aboveInFlight"`
	// PathPrefix restricts the fault to one route; empty means all.
	PathPrefix string `json:"pathPrefix"`
	// Every restricts the fault to every nth call; zero and one mean all.
	Every uint64 `json:"every"`
	// Delay is the delay of FaultSlow.
	Delay checker.Duration `json:"delay"`
}

// check reports what is wrong with the settings.
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

// applies reports whether the fault meets a call.
func (fa *Fault) applies(path string, inFlight int, count uint64, since time.Duration) bool {
	return since >= time.Duration(fa.After) && inFlight > fa.AboveInFlight &&
		strings.HasPrefix(path, fa.PathPrefix) &&
		(fa.Every <= 1 || count%fa.Every == 0)
}
