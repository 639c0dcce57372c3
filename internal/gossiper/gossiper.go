// Package gossiper runs a [detector.Detector] over the connections between
// nodes. It sends the probes and exchanges that the detector requests, answers
// those of peers, and provides the membership to the rest of the node.
package gossiper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/detector"
	"github.com/guavastall/guavastall/pkg/checker"
)

// Name is the name the receiver is registered under.
const Name = "Gossiper"

// Caller makes calls to nodes; a *linker.Pool implements it.
type Caller interface {
	Call(ctx context.Context, node checker.NodeID, method string, args, reply any) error
	Keep(nodes []checker.NodeID)
	MarkRepeatable(names ...string)
}

// Config holds the settings of a Gossiper. Zero durations take the defaults.
type Config struct {
	// Self describes the node. If its incarnation is zero, it is derived from
	// the wall clock.
	Self detector.Member
	// Detector holds the settings of the detector, including the seeds.
	Detector detector.Config
	// TickInterval is the time between ticks of the detector; default 100 ms.
	TickInterval time.Duration
	// PingTimeout bounds a ping, including a retry over a new connection;
	// default 1 s.
	PingTimeout time.Duration
	// Log receives a line for each change of a member's state. If it is nil,
	// nothing is logged.
	Log logrus.FieldLogger
}

// Gossiper runs a detector. It is safe for concurrent use.
type Gossiper struct {
	config Config
	caller Caller
	// results carries the results of actions to the loop.
	results chan result
	// wake makes the loop tick immediately.
	wake chan struct{}
	// probeSlots limits the concurrent pings made for other nodes.
	probeSlots chan struct{}

	mu       sync.Mutex
	detector *detector.Detector
	// members is the snapshot of the members at version, or nil if it is
	// outdated.
	members      []detector.Member
	version      uint64
	loggedStates map[checker.NodeID]detector.State
	// changed is closed when the members or notes change.
	changed chan struct{}
}

// result applies the result of an action to the detector.
type result func(now time.Time)

// maxProbes is the maximum number of concurrent pings made for other nodes.
const maxProbes = 32

// New returns a Gossiper that has not been started.
func New(co Config, ca Caller) *Gossiper {
	now := time.Now()
	if co.Self.Incarnation == 0 {
		co.Self.Incarnation = detector.FirstIncarnation(now)
	}
	if co.TickInterval == 0 {
		co.TickInterval = 100 * time.Millisecond
	}
	if co.PingTimeout == 0 {
		co.PingTimeout = time.Second
	}
	// PingVia is not repeated: the helper answers only after its own ping has
	// failed, which takes longer than a first attempt of two.
	ca.MarkRepeatable(Name+".Ping", Name+".Exchange")
	return &Gossiper{
		config: co, caller: ca, detector: detector.New(co.Self, co.Detector, now),
		results: make(chan result), wake: make(chan struct{}, 1),
		probeSlots: make(chan struct{}, maxProbes), changed: make(chan struct{}),
		loggedStates: map[checker.NodeID]detector.State{},
	}
}

// Start runs the Gossiper until the context ends. The channel is closed when
// all its goroutines have ended.
func (gs *Gossiper) Start(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		gs.run(ctx)
	}()
	return ended
}

// run is the main loop: it ticks the detector, starts actions and applies their
// results.
func (gs *Gossiper) run(ctx context.Context) {
	ticker := time.NewTicker(gs.config.TickInterval)
	defer ticker.Stop()
	var inFlight int
	var neighbours []checker.NodeID
	for ctx.Err() == nil || inFlight > 0 {
		if ctx.Err() == nil {
			for _, ac := range gs.tick(&neighbours) {
				inFlight++
				go gs.perform(ctx, ac)
			}
		}
		select {
		case <-ticker.C:
		case <-gs.wake:
		case re := <-gs.results:
			inFlight--
			gs.update(re)
		case <-stopChannel(ctx, inFlight):
		}
	}
}

// stopChannel returns the channel that stops the loop's wait: nil while actions
// are in flight, because each of them sends a result.
func stopChannel(ctx context.Context, running int) <-chan struct{} {
	if running > 0 {
		return nil
	}
	return ctx.Done()
}

// tick returns the actions that are due, and keeps connections to the
// neighbours open.
func (gs *Gossiper) tick(kept *[]checker.NodeID) []detector.Action {
	gs.mu.Lock()
	actions := gs.detector.Tick(time.Now())
	gs.publishChange()
	neighbours := gs.detector.Neighbours()
	gs.mu.Unlock()
	if !slices.Equal(*kept, neighbours) {
		gs.caller.Keep(neighbours)
		*kept = neighbours
	}
	return actions
}

// update applies a change to the detector.
func (gs *Gossiper) update(re result) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	re(time.Now())
	gs.publishChange()
}

// publishChange logs changed states and notifies the waiters if the members or
// notes have changed. The caller must hold the mutex.
func (gs *Gossiper) publishChange() {
	if gs.detector.Version() == gs.version {
		return
	}
	gs.version = gs.detector.Version()
	gs.members = nil
	if gs.config.Log != nil {
		gs.logStates()
	}
	close(gs.changed)
	gs.changed = make(chan struct{})
}

// logStates logs each member whose state changed since the last call.
func (gs *Gossiper) logStates() {
	gs.members = gs.detector.Members()
	states := make(map[checker.NodeID]detector.State, len(gs.members))
	for _, me := range gs.members {
		states[me.Node] = me.State
		if was, ok := gs.loggedStates[me.Node]; !ok || was != me.State {
			gs.config.Log.WithFields(logrus.Fields{
				"member": me.Node, "state": me.State, "incarnation": me.Incarnation,
				"dataCentre": me.DataCentre,
			}).Info("member changed")
		}
	}
	for node := range gs.loggedStates {
		if _, ok := states[node]; !ok {
			gs.config.Log.WithField("member", node).Info("member forgotten")
		}
	}
	gs.loggedStates = states
}

// perform performs an action and sends its result to the loop.
func (gs *Gossiper) perform(ctx context.Context, ac detector.Action) {
	switch ac.Kind {
	case detector.Ping:
		re, _ := gs.ping(ctx, ac)
		gs.results <- re
	case detector.PingVia:
		gs.results <- gs.pingVia(ctx, ac)
	default:
		gs.results <- gs.exchange(ctx, ac)
	}
}

func (gs *Gossiper) failure(ac detector.Action) result {
	return func(now time.Time) { gs.detector.HandleFailure(ac, now) }
}

// ping sends a ping and reports whether the target answered.
func (gs *Gossiper) ping(ctx context.Context, ac detector.Action) (result, bool) {
	ctx, cancel := context.WithTimeout(ctx, gs.config.PingTimeout)
	defer cancel()
	var wi PingMessage
	err := gs.caller.Call(ctx, ac.Target, Name+".Ping", encodePing(ac.Message), &wi)
	if err != nil {
		return gs.failure(ac), false
	}
	answer, err := decodePing(wi)
	if err != nil || answer.From != ac.Target {
		return gs.failure(ac), false
	}
	return func(now time.Time) { gs.detector.HandleAck(ac, answer, now) }, true
}

func (gs *Gossiper) pingVia(ctx context.Context, ac detector.Action) result {
	reached, err := gs.askHelper(ctx, ac.Via, ac.Target)
	switch {
	case err != nil:
		return gs.failure(ac)
	case !reached:
		return func(now time.Time) { gs.detector.HandleNack(ac, now) }
	default:
		return func(now time.Time) { gs.detector.HandleAck(ac, detector.Message{}, now) }
	}
}

// askHelper asks the node via to ping the target and reports whether the target
// answered.
func (gs *Gossiper) askHelper(
	ctx context.Context, via, target checker.NodeID,
) (reached bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*gs.config.PingTimeout)
	defer cancel()
	var answer ViaAnswer
	err = gs.caller.Call(ctx, via, Name+".PingVia", ViaRequest{Target: target}, &answer)
	return answer.Reached, err
}

func (gs *Gossiper) exchange(ctx context.Context, ac detector.Action) result {
	ctx, cancel := context.WithTimeout(ctx, 2*gs.config.PingTimeout)
	defer cancel()
	var wi ExchangeMessage
	err := gs.caller.Call(ctx, ac.Target, Name+".Exchange", encodeOffer(ac.Offer), &wi)
	if err != nil {
		return gs.failure(ac)
	}
	answer, err := decodeOffer(wi)
	if err != nil {
		return gs.failure(ac)
	}
	return func(now time.Time) { gs.detector.HandleOfferAnswer(ac, answer, now) }
}

// Members returns every known member including the node itself, ordered by
// address, and a channel that is closed when the members or notes change. The
// caller must not modify the slice.
func (gs *Gossiper) Members() ([]detector.Member, <-chan struct{}) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	if gs.members == nil {
		gs.members = gs.detector.Members()
	}
	return gs.members, gs.changed
}

// Self returns the node's own record.
func (gs *Gossiper) Self() detector.Member {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.detector.Self()
}

// Refutations returns how often the node had to refute that it is suspect or
// dead.
func (gs *Gossiper) Refutations() uint64 {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.detector.Refutations()
}

// Counts returns the numbers of members for each data centre.
func (gs *Gossiper) Counts() map[checker.DataCentre]detector.Count {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.detector.Counts()
}

// Neighbours returns the members that the node probes and keeps connections to.
func (gs *Gossiper) Neighbours() []checker.NodeID {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.detector.Neighbours()
}

// SetSeeds replaces the seed addresses.
func (gs *Gossiper) SetSeeds(seeds []checker.NodeID) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.detector.SetSeeds(seeds)
}

// Change applies a change to the node's own record, for example to its version
// or slots, and propagates the record.
func (gs *Gossiper) Change(change func(*detector.Member)) {
	gs.update(func(now time.Time) { gs.detector.Change(change, now) })
	gs.wakeUp()
}

// Drain marks the node as accepting no new work, and propagates the change.
func (gs *Gossiper) Drain() { gs.Change(func(me *detector.Member) { me.Draining = true }) }

// Leave marks the node as left, and propagates the change. It returns when all
// neighbours have been sent the change or the context ends. The Gossiper must be
// running.
func (gs *Gossiper) Leave(ctx context.Context) error {
	gs.update(func(now time.Time) { gs.detector.Leave(now) })
	ticker := time.NewTicker(gs.config.TickInterval / 4)
	defer ticker.Stop()
	for {
		gs.wakeUp()
		gs.mu.Lock()
		propagated := gs.detector.Propagated()
		gs.mu.Unlock()
		if propagated {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// SetNote stores a note and propagates it if it supersedes the known one.
func (gs *Gossiper) SetNote(no detector.Note) {
	gs.update(func(time.Time) { gs.detector.SetNote(no) })
	gs.wakeUp()
}

// Notes returns the notes by key.
func (gs *Gossiper) Notes() map[string]detector.Note {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.detector.Notes()
}

func (gs *Gossiper) wakeUp() {
	select {
	case gs.wake <- struct{}{}:
	default:
	}
}
