package retrier

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavastall/guavastall/internal/answerer"
)

// init fixes the seed of the randomised tests; -rapid.seed on the command line
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var epoch = time.Unix(1000, 0)

// Guards against an attempt classified as not run after a byte was sent, and against
// a truncated or lost response counting as an answer.
func TestClassify(t *testing.T) {
	for _, tt := range []struct {
		name string
		give Evidence
		want Outcome
	}{
		{"nothing sent", Evidence{}, NotRun},
		{"nothing sent, stray response", Evidence{Complete: true, Reported: Answered}, NotRun},
		{"sent, no response", Evidence{BytesSent: true}, Unknown},
		{"truncated not run", Evidence{BytesSent: true, Reported: NotRun}, Unknown},
		{"node says not run", Evidence{BytesSent: true, Complete: true, Reported: NotRun}, NotRun},
		{"node says nothing", Evidence{BytesSent: true, Complete: true}, Unknown},
		{"node says answered", Evidence{BytesSent: true, Complete: true, Reported: Answered}, Answered},
		{"target answers", Evidence{BytesSent: true, Complete: true, FromTarget: true}, Answered},
		{"target cut off", Evidence{BytesSent: true, FromTarget: true}, Unknown},
	} {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.want, Classify(tt.give)) })
	}
	for _, ou := range []Outcome{Unknown, NotRun, Answered} {
		require.Equal(t, ou, ParseOutcome(ou.String()))
	}
}

// naive is the reference implementation. It checks the rules directly and computes
// the tokens of the budget from the whole history.
type naive struct {
	ratio   float64
	history []float64 // deposits, and -1 for each retry
	last    time.Time
}

func (na *naive) tokens() float64 {
	if na.ratio <= 0 {
		return 0
	}
	tokens := float64(initialTokens)
	for _, change := range na.history {
		tokens = min(tokens+change, maxTokens)
	}
	return tokens
}

func (na *naive) pay(reserve float64, now time.Time) bool {
	switch {
	case na.ratio <= 0:
		return false
	case na.tokens()-1 >= reserve:
		na.history = append(na.history, -1)
	case reserve > 0 || now.Sub(na.last) < emptyRetryInterval:
		return false
	}
	na.last = now
	return true
}

func (na *naive) next(at Attempt, now time.Time) bool {
	retriable := at.Outcome == NotRun || at.Outcome == Unknown && at.Idempotent
	transient := map[answerer.Kind]bool{
		answerer.Internal: true, answerer.NoTarget: true, answerer.Overloaded: true,
		answerer.Draining: true, answerer.DataCentreOut: true, answerer.DeadlineExceeded: true,
		answerer.OutcomeUnknown: true, answerer.NotReady: true,
	}[at.Kind]
	var wait time.Duration
	for nn := 2; nn <= at.Number; nn++ {
		wait = min(max(2*wait, firstDelay), maxDelay)
	}
	intime := now.Add(wait + at.Expected).Before(at.Deadline)
	if !retriable || !transient || at.Marked || at.Number >= at.MaxAttempts || !intime {
		return false
	}
	planned := at.Kind == answerer.Draining || at.Kind == answerer.DataCentreOut
	return planned && at.Outcome == NotRun || na.pay(0, now)
}

func (na *naive) hedge(at Attempt, now time.Time) bool {
	if !at.Idempotent || !at.HedgeAllowed || at.Expected == 0 || at.Number >= at.MaxAttempts ||
		at.Elapsed < 3*at.Expected || !now.Add(at.Expected).Before(at.Deadline) {
		return false
	}
	return na.pay(hedgeReserve, now)
}

// Guards against attempts that the rules forbid, in particular the second run of a
// call that is not idempotent, and against errors in the count of tokens.
func TestDecisionsMatchNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ratio := rapid.SampledFrom([]float64{0, 0.1, 0.25, 1}).Draw(rt, "ratio")
		bu, na := NewBudget(ratio), &naive{ratio: ratio}
		now := epoch
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "first") {
				bu.First()
				na.history = append(na.history, ratio)
				continue
			}
			at := Attempt{
				Outcome: Outcome(rapid.IntRange(0, 2).Draw(rt, "outcome")),
				Kind:    answerer.Kind(rapid.IntRange(0, int(answerer.NotFound)).Draw(rt, "kind")),
				Marked:  rapid.IntRange(0, 4).Draw(rt, "marked") == 0,
				Number:  rapid.IntRange(1, 9).Draw(rt, "number"), MaxAttempts: rapid.IntRange(1, 10).Draw(rt, "max"),
				Idempotent:   rapid.Bool().Draw(rt, "idempotent"),
				Deadline:     now.Add(time.Duration(rapid.IntRange(-5, 100).Draw(rt, "left")) * time.Millisecond),
				Expected:     time.Duration(rapid.IntRange(0, 20).Draw(rt, "expected")) * time.Millisecond,
				Elapsed:      time.Duration(rapid.IntRange(0, 60).Draw(rt, "elapsed")) * time.Millisecond,
				HedgeAllowed: rapid.Bool().Draw(rt, "hedge"),
			}
			de := Next(at, bu, now)
			require.Equal(rt, na.next(at, now), de.Again)
			require.Equal(rt, de.Again, de.Reason == Allowed)
			require.Equal(rt, !de.Again && at.Outcome != Answered, de.Mark)
			require.False(rt, de.Again && at.Outcome == Unknown && !at.Idempotent)
			he := Hedge(at, bu, now)
			require.Equal(rt, na.hedge(at, now), he.Again)
			if he.Delay > 0 {
				at.Elapsed += he.Delay
				require.NotEqual(rt, TooEarly, Hedge(at, nil, now.Add(he.Delay)).Reason)
			}
			require.InDelta(rt, na.tokens(), bu.tokens, 1e-9)
		}
	})
}

// chain is a chain of services in which each service calls the next one and the last
// one, the leaf, fails.
type chain struct {
	budgets []*Budget
	fails   func() bool
	outcome Outcome
	always  bool // retries regardless of the rules
	unmark  bool // drops the marks of failures
	healthy int  // number of calls before the leaf begins to fail
	calls   []int
	now     time.Time
}

func (ch *chain) call(level int) (Outcome, bool) {
	if level == len(ch.budgets) {
		ch.now = ch.now.Add(time.Millisecond)
		if ch.fails() {
			return ch.outcome, false
		}
		return Answered, false
	}
	ch.budgets[level].First()
	for number := 1; ; number++ {
		ch.calls[level]++
		outcome, marked := ch.call(level + 1)
		if ch.always {
			if outcome == Answered || number == 3 {
				return outcome, false
			}
			continue
		}
		at := Attempt{
			Outcome: outcome, Kind: answerer.Overloaded, Marked: marked && !ch.unmark, Number: number,
			MaxAttempts: 3, Idempotent: true, Deadline: ch.now.Add(time.Minute),
		}
		if de := Next(at, ch.budgets[level], ch.now); !de.Again {
			return outcome, de.Mark
		}
	}
}

const depth = 14

// run makes the given number of calls and returns the attempts at the leaf per call.
func (ch *chain) run(calls int) float64 {
	ch.calls, ch.now = make([]int, depth), epoch.Add(time.Hour)
	ch.budgets = nil
	for range depth {
		ch.budgets = append(ch.budgets, NewBudget(0.1))
	}
	fails := ch.fails
	ch.fails = func() bool { return false }
	for range ch.healthy {
		ch.call(0)
	}
	ch.fails, ch.calls = fails, make([]int, depth)
	for range calls {
		ch.call(0)
	}
	return float64(ch.calls[depth-1]) / float64(calls)
}

// Guards against retry amplification in a deep chain of services. With a failing leaf
// it must stay below 1.2 attempts per call.
func TestAmplification(t *testing.T) {
	seeds := 1000
	if testing.Short() {
		seeds = 50
	}
	all := map[Outcome]float64{} // by the outcome alone
	for _, tt := range []struct {
		name    string
		share   float64
		outcome Outcome
		healthy int
	}{
		{"leaf refuses all", 1, NotRun, 0},
		{"leaf refuses all after a healthy time", 1, NotRun, 500},
		{"leaf fails all with unknown outcome", 1, Unknown, 0},
		{"leaf refuses half", 0.5, NotRun, 0},
		{"leaf refuses a tenth", 0.1, NotRun, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var mean, worst, unmarked, always float64
			for seed := range seeds {
				rng := rand.New(rand.NewPCG(2, uint64(seed)))
				fails := func() bool { return rng.Float64() < tt.share }
				got := (&chain{fails: fails, outcome: tt.outcome, healthy: tt.healthy}).run(200)
				mean += got / float64(seeds)
				worst = max(worst, got)
				unmarked += (&chain{fails: fails, outcome: tt.outcome, unmark: true}).run(200) / float64(seeds)
				if tt.share < 1 {
					always += (&chain{fails: fails, outcome: tt.outcome, always: true}).run(200) / float64(seeds)
				}
			}
			if tt.share == 1 { // one call already makes 3^14 attempts
				if all[tt.outcome] == 0 {
					all[tt.outcome] = (&chain{fails: func() bool { return true }, outcome: tt.outcome, always: true}).run(1)
				}
				always = all[tt.outcome]
			}
			t.Logf("attempts at the leaf per call: mean %.3f, worst %.3f; marks lost %.3f; retry always %.2f",
				mean, worst, unmarked, always)
			require.Less(t, worst, 1.2)
			require.Greater(t, always, mean)
		})
	}
}

// Guards against calls that fail during a planned stop because the budget is empty.
func TestDrainingIsRetriedWithoutBudget(t *testing.T) {
	at := Attempt{
		Outcome: NotRun, Kind: answerer.Draining, Number: 1, MaxAttempts: 2,
		Deadline: epoch.Add(time.Second),
	}
	require.True(t, Next(at, NewBudget(0), epoch).Again)
	at.Outcome = Unknown
	require.Equal(t, NotIdempotent, Next(at, NewBudget(1), epoch).Reason)
}

// Guards against hedges that use the tokens reserved for retries of failures.
func TestHedgesLeaveTokens(t *testing.T) {
	bu := NewBudget(0.1)
	at := Attempt{
		Outcome: NotRun, Number: 1, MaxAttempts: 3, Idempotent: true, HedgeAllowed: true,
		Deadline: epoch.Add(time.Second), Expected: time.Millisecond, Elapsed: time.Second,
	}
	require.True(t, Hedge(at, bu, epoch).Again)
	require.Equal(t, BudgetEmpty, Hedge(at, bu, epoch).Reason)
	require.True(t, Next(at, bu, epoch).Again)
}

func BenchmarkNext(b *testing.B) {
	bu := NewBudget(1)
	at := Attempt{Outcome: NotRun, Number: 1, MaxAttempts: 3, Deadline: epoch.Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		bu.First()
		Next(at, bu, epoch)
	}
}
