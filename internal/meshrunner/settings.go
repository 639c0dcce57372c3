package meshrunner

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/guavastall/guavastall/internal/budgeter"
	"github.com/guavastall/guavastall/internal/connlimiter"
)

// Settings are the settings of a node that follows a store.
type Settings struct {
	// Name identifies the node in logs.
	Name       string
	DataCentre string
	// Service is the service that runs on this VM.
	Service string
	// Target is the address of the local target.
	Target netip.AddrPort
	// Nodes, Clients, Ready, Control and Metrics are the addresses that the node
	// listens on. Metrics is optional.
	Nodes, Clients, Ready, Control, Metrics netip.AddrPort
	// Store is the address of the store.
	Store netip.AddrPort
	// Memory is the memory limit of the process in bytes, or zero for none.
	Memory int64
	// Descriptors is the number of files and connections that the process may have
	// open, or zero for the limit of the operating system.
	Descriptors int
	// Capacity is the number of processors of the VM. It may be fractional.
	Capacity float64
	// LinkRate is the rate of the VM's link in bits per second; zero if it is
	// unknown or no bottleneck.
	LinkRate float64
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// ColdFactor is the multiple of its declared rate that a cold target may
	// receive.
	ColdFactor float64
	// ColdSlack is the number of requests beyond that rate that a cold target may
	// receive in one second.
	ColdSlack float64
	// Budget limits retries for a service over all nodes.
	Budget budgeter.Config
}

// coldSlackFraction is the fraction of ColdSlack that is used. The rest is for
// requests that a node writes late, after they were counted, because it was not
// scheduled in time.
const coldSlackFraction = 0.5

// coldRate returns the admissions per second for a target that declares the given
// rate while it is cold. Zero means no limit.
func (se *Settings) coldRate(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return rate*se.ColdFactor + coldSlackFraction*se.ColdSlack
}

// budget returns what connections may use.
func (se *Settings) budget() connlimiter.Budget {
	return connlimiter.NewBudget(se.Descriptors, se.Memory)
}

// Check returns an error that lists all invalid settings, or nil.
func (se *Settings) Check() error {
	var errs []error
	for _, ad := range []struct {
		name    string
		address netip.AddrPort
	}{
		{"target", se.Target}, {"nodes", se.Nodes}, {"clients", se.Clients},
		{"ready", se.Ready}, {"control", se.Control}, {"store", se.Store},
	} {
		if !ad.address.IsValid() || ad.address.Port() == 0 {
			errs = append(errs, fmt.Errorf("address %s is missing", ad.name))
		}
	}
	if se.DataCentre == "" {
		errs = append(errs, errors.New("the data centre is missing"))
	}
	if !(se.LinkRate >= 0) {
		errs = append(errs, fmt.Errorf("link rate %v is not positive or zero", se.LinkRate))
	}
	if se.Grace < 0 || se.Memory < 0 || se.Descriptors < 0 {
		errs = append(errs, errors.New(
			"the grace period or the limit of memory or descriptors is negative"))
	}
	if se.ColdFactor < 1 {
		errs = append(errs, fmt.Errorf("cold rate factor %v is below 1", se.ColdFactor))
	}
	if se.ColdSlack < 0 {
		errs = append(errs, fmt.Errorf("cold rate slack %v is negative", se.ColdSlack))
	}
	if bu := &se.Budget; bu.Ratio < 0 || bu.Allowance < 0 || bu.Window <= 0 {
		errs = append(errs, fmt.Errorf(
			"retry budget: ratio %v, allowance %v, window %s out of range",
			bu.Ratio, bu.Allowance, bu.Window))
	}
	return errors.Join(errs...)
}
