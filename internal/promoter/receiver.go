package promoter

import (
	"fmt"
	"sync"

	"github.com/guavastall/guavastall/internal/evaluator"
	"github.com/guavastall/guavastall/pkg/checker"
)

// ServiceName is the name the [Receiver] is registered under, and ReportMethod
// the method that takes reports.
const (
	ServiceName  = "Promoter"
	ReportMethod = ServiceName + ".Report"
)

// maxInbox bounds the samples kept between two ticks; 750 nodes report about
// ten each for a service that moves.
const maxInbox = 100_000

// Report is the calls a node counted since its last report.
type Report struct {
	From    checker.NodeID
	Samples []evaluator.Sample
}

// Reply answers a report.
type Reply struct {
	// Taken is the number of samples taken.
	Taken int
}

// Receiver takes reports from other nodes over net/rpc.
type Receiver struct {
	inbox *inbox
}

// Receiver returns the value to register under [ServiceName].
func (pr *Promoter) Receiver() *Receiver { return &Receiver{inbox: &pr.inbox} }

// Report takes the samples of one node. They are merged at the next tick.
func (rc *Receiver) Report(args *Report, reply *Reply) error {
	if !rc.inbox.add(args.Samples) {
		return fmt.Errorf("report of %v with %d samples refused: more than %d in a second",
			args.From, len(args.Samples), maxInbox)
	}
	reply.Taken = len(args.Samples)
	return nil
}

// inbox holds samples until the next tick.
type inbox struct {
	mu      sync.Mutex
	samples []evaluator.Sample
}

func (in *inbox) add(samples []evaluator.Sample) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.samples)+len(samples) > maxInbox {
		return false
	}
	in.samples = append(in.samples, samples...)
	return true
}

func (in *inbox) take() []evaluator.Sample {
	in.mu.Lock()
	defer in.mu.Unlock()
	samples := in.samples
	in.samples = nil
	return samples
}
