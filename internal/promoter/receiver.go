package promoter

import (
	"fmt"
	"sync"

	"github.com/guavastall/guavastall/internal/evaluator"
	"github.com/guavastall/guavastall/pkg/checker"
)

// ServiceName is the name under which the [Receiver] is registered, and
// ReportMethod the method that receives reports.
const (
	ServiceName  = "Promoter"
	ReportMethod = ServiceName + ".Report"
)

// maxPendingSamples bounds the samples kept between two ticks. 750 nodes report
// about ten each for a service with an open move.
const maxPendingSamples = 100_000

// Report holds the calls that a node has counted since its last report.
type Report struct {
	From    checker.NodeID
	Samples []evaluator.Sample
}

// Reply is the answer to a report.
type Reply struct {
	// Taken is the number of samples accepted.
	Taken int
}

// Receiver receives reports from other nodes over net/rpc.
type Receiver struct {
	inbox *inbox
}

// Receiver returns the receiver to register under [ServiceName].
func (pr *Promoter) Receiver() *Receiver { return &Receiver{inbox: &pr.inbox} }

// Report queues the samples of a node, which are evaluated at the next tick.
func (rc *Receiver) Report(args *Report, reply *Reply) error {
	if !rc.inbox.add(args.Samples) {
		return fmt.Errorf("report of %v with %d samples refused: more than %d in a second",
			args.From, len(args.Samples), maxPendingSamples)
	}
	reply.Taken = len(args.Samples)
	return nil
}

// inbox queues samples until the next tick.
type inbox struct {
	mu      sync.Mutex
	samples []evaluator.Sample
}

func (in *inbox) add(samples []evaluator.Sample) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.samples)+len(samples) > maxPendingSamples {
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
