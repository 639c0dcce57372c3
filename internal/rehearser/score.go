package rehearser

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Score summarises the runs of one class under one policy.
type Score struct {
	Runs int
	// Done and TakenBack count the runs completed and rolled back, and Late the runs
	// rolled back because the deadline could not be met.
	Done, TakenBack, Late int
	// Shown counts the runs in which the fault applied to a call, and Caught those of
	// them that were rolled back.
	Shown, Caught int
	// Took holds the durations of the completed moves.
	Took []time.Duration
	// Reaction holds the times from the first call to which the fault applied to the
	// last call to the new version.
	Reaction []time.Duration
	// Exposed and Share hold the calls to which the fault applied, as a number and as
	// a share of the calls to the service during the move.
	Exposed []uint64
	Share   []float64
	// Reasons counts the reasons of rollbacks.
	Reasons map[string]int
}

// Measure runs the seeds from 0 to runs-1 of a class on the given number of workers.
func Measure(cl Class, runs, workers int, policy func(Scenario) Policy) *Score {
	results := make([]Result, runs)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for {
				seed := int(next.Add(1)) - 1
				if seed >= runs {
					return
				}
				sc := cl.Scenario(uint64(seed))
				results[seed] = Run(sc, policy(sc))
			}
		})
	}
	wg.Wait()
	so := &Score{Reasons: map[string]int{}}
	for _, re := range results {
		so.add(re)
	}
	slices.Sort(so.Took)
	slices.Sort(so.Reaction)
	slices.Sort(so.Exposed)
	slices.Sort(so.Share)
	return so
}

func (so *Score) add(re Result) {
	so.Runs++
	if re.Done {
		so.Done++
		so.Took = append(so.Took, re.Took)
	}
	if re.Shown {
		so.Shown++
		so.Exposed = append(so.Exposed, re.Exposed)
		so.Share = append(so.Share, float64(re.Exposed)/float64(re.Calls))
	}
	if !re.TakenBack {
		return
	}
	so.TakenBack++
	kind, _, _ := strings.Cut(re.Reason, ":")
	so.Reasons[kind]++
	if kind == "deadline" {
		so.Late++
	}
	if re.Shown {
		so.Caught++
		so.Reaction = append(so.Reaction, re.Took-re.ShownAt)
	}
}

// Median returns the median of a sorted list, or the zero value if it is empty.
func Median[T any](list []T) T { return at(list, len(list)/2) }

// Worst returns the greatest value of a sorted list, or the zero value if it is
// empty.
func Worst[T any](list []T) T { return at(list, len(list)-1) }

func at[T any](list []T, nn int) T {
	var zero T
	if len(list) == 0 {
		return zero
	}
	return list[nn]
}

// Header returns the column headings for the rows of [Score.Row].
func Header() string {
	return fmt.Sprintf("%-26s %-10s %5s %7s %7s %7s %5s  %16s  %16s  %14s  %16s",
		"class", "policy", "runs", "done", "taken", "caught", "late",
		"took med/max", "reaction med/max", "exposed", "share exposed")
}

// Row returns the score as a table row. The column "caught" is relative to the runs
// in which the fault applied to a call.
func (so *Score) Row(class, policy string) string {
	return fmt.Sprintf("%-26s %-10s %5d %6.1f%% %6.1f%% %6.1f%% %5d  %7v %8v  %7v %8v  "+
		"%6d %7d  %7.3f%% %7.3f%%",
		class, policy, so.Runs, percent(so.Done, so.Runs), percent(so.TakenBack, so.Runs),
		percent(so.Caught, so.Shown), so.Late, Median(so.Took), Worst(so.Took),
		Median(so.Reaction), Worst(so.Reaction), Median(so.Exposed), Worst(so.Exposed),
		100*Median(so.Share), 100*Worst(so.Share))
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }
