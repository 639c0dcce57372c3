package carrier

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/guavastall/guavastall/internal/admitter"
	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/budgeter"
	"github.com/guavastall/guavastall/internal/matcher"
	"github.com/guavastall/guavastall/internal/placer"
	"github.com/guavastall/guavastall/internal/retrier"
)

const (
	// maxPlacements bounds the number of targets whose nodes are asked to run one
	// request. A refusal by a node costs a round trip and does not reach the
	// target.
	maxPlacements = 3
	// maxStaleTargets bounds the number of nodes that refuse one request because
	// this node's information about their targets is out of date.
	maxStaleTargets = 6
	// maxReportAge is the age up to which a reported wait is sufficient reason to
	// refuse a request without asking the target's node.
	maxReportAge = 200 * time.Millisecond
)

// dispatch is the state of a request at its first node.
type dispatch struct {
	*Carrier
	rq           *request
	view         *View
	part         matcher.Part
	newVersion   bool
	tried        []string
	placements   int
	staleTargets int
	// fullLinks are the targets that refused because of their VM's link.
	fullLinks          []string
	reached            int
	lastResult         *result
	shortestRetryAfter time.Duration
	// lateScale is the ratio of the time after which the running attempt is late to
	// that of the route.
	lateScale float64
}

// Clients returns the handler for requests from clients and from the local
// target.
func (ca *Carrier) Clients() http.Handler {
	return http.HandlerFunc(ca.serveClient)
}

// MayRunConcurrently reports whether a client's request may run while an earlier
// request of the same connection is unanswered. If an earlier response closes the
// connection, the client sends the request again. A request that may is handled with the
// view that allowed it, as its route may be another one in a later view.
func (ca *Carrier) MayRunConcurrently(r *http.Request) bool {
	vi := ca.view.Load()
	if vi == nil {
		return false
	}
	route := vi.match(r.Host, r.RequestURI)
	if route == nil || route.Kind != matcher.Idempotent {
		return false
	}
	*r = *r.WithContext(context.WithValue(r.Context(), viewKey{}, vi))
	return true
}

// viewKey is the key of the view in the context of a request.
type viewKey struct{}

// viewFor returns the view for the request: the current one, unless another one allowed
// it to run concurrently.
func (ca *Carrier) viewFor(r *http.Request) *View {
	if vi, ok := r.Context().Value(viewKey{}).(*View); ok {
		return vi
	}
	return ca.view.Load()
}

// serveClient handles a request at its first node.
func (ca *Carrier) serveClient(w http.ResponseWriter, r *http.Request) {
	ca.inFlight.Add(1)
	defer ca.inFlight.Add(-1)
	now := ca.config.Now()
	w.Header()["Date"] = nil
	if ca.stopTime.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	vi := ca.viewFor(r)
	stopTimeout := limitBodyTime(w, r, now)
	rq, err := ca.parse(r, bodyLimit(vi), now)
	stopTimeout()
	defer rq.release()
	if err == nil && ca.rejectingClients.Load() {
		ca.respond(w, rq, vi, refusal(answerer.Draining, "the node leaves", shutdownRetryAfter))
		return
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		ca.reject(w, r.Header.Get(ca.config.Names.RequestID), err)
		return
	}
	if vi == nil {
		rs := refusal(answerer.NotReady, "no configuration yet", defaultRetryAfter)
		ca.respond(w, rq, vi, rs)
		return
	}
	rq.route = vi.match(rq.host, rq.uri)
	if rq.route == nil {
		ca.respond(w, rq, vi, refusal(answerer.NoRoute, "no route matches the host and path", 0))
		return
	}
	ca.prepare(rq)
	if rs := ca.checkStop(rq, ca.config.Now()); rs != nil {
		ca.respond(w, rq, vi, rs)
		return
	}
	rq.acceptLate = rq.returning
	di := &dispatch{Carrier: ca, rq: rq, view: vi}
	rs := di.run(r.Context())
	ca.respond(w, rq, vi, rs)
}

// stopTimeFactor is the multiple of a route's average processing time that a node
// which is shutting down must have left to accept a request.
const stopTimeFactor = 2

// checkStop refuses a request whose response is not expected before the process
// ends, while the client can still be told that it has not run. The deadline of
// others is at most the end of the process, so that their targets respond by then.
func (ca *Carrier) checkStop(rq *request, now time.Time) *result {
	end := ca.stopTime.Load()
	if end == nil {
		return nil
	}
	need := stopTimeFactor * ca.averageProcessingTime(rq.route.Name)
	if now.Add(need).After(*end) {
		wait := end.Sub(now) + shutdownRetryAfter
		return refusal(answerer.Draining, "the node ends before a response", wait)
	}
	if end.Before(rq.deadline) {
		rq.deadline = *end
	}
	return nil
}

// match returns the route of a request, or nil.
func (vi *View) match(host, uri string) *matcher.Route {
	path, _, _ := strings.Cut(uri, "?")
	return vi.Config.Match(hostName(host), path)
}

func bodyLimit(vi *View) int64 {
	if vi == nil || vi.Config.Limits.BodyBytes <= 0 {
		return defaultBodyBytes
	}
	return vi.Config.Limits.BodyBytes
}

// prepare sets the fields that depend on the route and the sender.
func (ca *Carrier) prepare(rq *request) {
	rq.caller = ca.config.Caller()
	left := rq.route.Timeout
	if !rq.deadline.IsZero() {
		left = rq.deadline.Sub(rq.arrived)
	}
	if end := strings.LastIndexByte(rq.id, '.'); end > 0 {
		var parent run
		parent, rq.inner = ca.gate.countCall(rq.id[:end])
		rq.repeat, rq.returning = parent.repeat, parent.returning
	}
	// The objective counts from the client's first attempt, so it is reduced by
	// the time that a retrying client has already spent.
	usual := ca.usualTimeout(rq.route.Name, left)
	rq.objective = rq.arrived.Add(rq.route.Objective)
	if !rq.inner {
		rq.returning = float64(left) < returningFraction*float64(usual)
		rq.objective = rq.objective.Add(left - usual)
	}
	rq.deadline = rq.arrived.Add(min(left, rq.route.Timeout))
}

// usualTimeout updates and returns the estimate of the timeout that clients of
// the route usually set.
func (ca *Carrier) usualTimeout(route string, left time.Duration) time.Duration {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	usual := stepQuantile(ca.usualTimeouts[route], left)
	ca.usualTimeouts[route] = usual
	return usual
}

const (
	// usualTimeoutQuantile is the quantile of clients' timeouts that counts as
	// usual. Most requests are first attempts, and single clients may set any
	// timeout.
	usualTimeoutQuantile = 0.75
	// usualTimeoutStep is how far one request moves the estimate, as a fraction
	// of it.
	usualTimeoutStep = 0.02
)

// stepQuantile moves the quantile estimate by one sample. Zero means that there
// is no estimate yet.
func stepQuantile(usual, left time.Duration) time.Duration {
	step := usualTimeoutStep * float64(usual)
	switch {
	case usual == 0:
		return left
	case left >= usual:
		return min(left, usual+time.Duration(usualTimeoutQuantile*step))
	default:
		return max(left, usual-time.Duration((1-usualTimeoutQuantile)*step))
	}
}

// run makes attempts until one of them is final.
func (di *dispatch) run(ctx context.Context) *result {
	now := di.config.Now()
	di.assignVersion(now)
	for {
		now = di.config.Now()
		if !now.Before(di.rq.deadline) {
			return di.finalResult(refusal(answerer.DeadlineExceeded,
				"the time ran out before an attempt", 0))
		}
		ch, rs := di.selectTarget(now)
		if rs != nil {
			return di.finalResult(rs)
		}
		if delay, ok := di.hedgeDelay(ch, now); ok {
			rs = di.race(ctx, ch, delay)
		} else {
			rs = di.attempt(ctx, ch)
		}
		if di.isFinal(ctx, rs) {
			return di.finalResult(rs)
		}
		di.lastResult = stronger(di.lastResult, rs)
		if vi := di.Carrier.view.Load(); vi != nil {
			di.view = vi
		}
	}
}

// finalResult returns the result for the client. A target's response is preferred
// to none, and a refusal is returned only if no attempt may have run.
func (di *dispatch) finalResult(rs *result) *result {
	if di.lastResult != nil && rs.response == nil {
		switch {
		case di.lastResult.response != nil:
			return di.lastResult
		case di.lastResult.outcome == retrier.Unknown:
			return di.lastResult
		}
	}
	if rs.outcome == retrier.NotRun && di.shortestRetryAfter > 0 {
		rs.retryAfter = di.shortestRetryAfter
	}
	return rs
}

// assignVersion assigns the request to a service and a version.
func (di *dispatch) assignVersion(now time.Time) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.part = di.splitter.Next(di.rq.route)
	if di.rq.repeat {
		di.budget(di.part.Service).CountRetry(now)
	} else {
		di.budget(di.part.Service).Request(now)
	}
	ve := di.view.Versions[di.part.Service]
	if ve.Next == "" {
		delete(di.versionCredits, di.part.Service)
		return
	}
	credit, ok := di.versionCredits[di.part.Service]
	if !ok {
		credit = rand.Float64() //nolint:gosec // spreads the nodes; not a secret
	}
	credit += ve.Share
	if credit >= 1 {
		credit--
		di.newVersion = true
	}
	di.versionCredits[di.part.Service] = credit
}

// budget returns the retry budget of the service. The caller must hold ca.mu.
func (ca *Carrier) budget(service string) *budgeter.Budget {
	bu := ca.budgets[service]
	if bu == nil {
		bu = budgeter.New(ca.config.Budget)
		ca.budgets[service] = bu
	}
	return bu
}

// selectTarget selects the target of the next attempt, or returns a refusal.
func (di *dispatch) selectTarget(now time.Time) (placer.Choice, *result) {
	if di.placements >= maxPlacements {
		di.acceptLate()
	}
	if di.placements >= maxPlacements || di.staleTargets >= maxStaleTargets {
		return placer.Choice{}, refusal(answerer.Overloaded, "every target asked refused", 0)
	}
	targets := di.candidates()
	if !untried(targets, di.tried) {
		di.acceptLate()
	}
	own := di.gate.targetPace()
	di.mu.Lock()
	if own.Pace.Latest > 0 {
		di.placer.SetPace(own)
	}
	ch, ok := di.placer.Pick(targets, di.forPlacer(now), now)
	di.mu.Unlock()
	if !ok {
		if len(di.tried) > 0 {
			return ch, refusal(answerer.Overloaded, "no further target", 0)
		}
		return ch, refusal(answerer.NoTarget, "the service has no usable target", 0)
	}
	if ch.Age >= 0 && ch.Age < maxReportAge && now.Add(ch.Wait).After(di.latestStart(ch, now)) {
		return ch, refusal(answerer.Overloaded, "no target has room in time", ch.Wait)
	}
	return ch, nil
}

// forPlacer returns the properties of the request that the placer needs. The caller
// must hold ca.mu.
func (di *dispatch) forPlacer(now time.Time) placer.Request {
	return placer.Request{
		DataCentre: di.config.DataCentre, Self: di.config.Self, Route: di.rq.route.Name,
		Objective: di.rq.objective.Sub(now), Tried: di.tried, Rank: di.rq.rank(),
		Bytes: di.responseBytes[di.rq.route.Name],
	}
}

// acceptLate makes one more placement possible at a target whose link had no room
// for a response in time. A late response is worth more than another request of
// the client, which would be late as well.
func (di *dispatch) acceptLate() {
	if di.rq.acceptLate || len(di.fullLinks) == 0 {
		return
	}
	di.rq.acceptLate = true
	di.placements = min(di.placements, maxPlacements-1)
	di.tried = slices.DeleteFunc(di.tried, func(id string) bool {
		return slices.Contains(di.fullLinks, id)
	})
}

// latestStart returns the latest start time for which the target is worth asking.
// For a target in another data centre it is the latest start that the target's
// gate would accept, because a refusal there costs the transfer of the request.
func (di *dispatch) latestStart(ch placer.Choice, now time.Time) time.Time {
	if ch.Target.DataCentre == di.config.DataCentre {
		return di.rq.deadline
	}
	work := di.averageProcessingTime(di.rq.route.Name)
	return admitter.LatestStart(di.rq.forQueue(work), now)
}

// candidates returns the targets that the request may be sent to.
func (di *dispatch) candidates() []placer.Target {
	ve := di.view.Versions[di.part.Service]
	all := di.view.Targets[di.part.Service]
	canaries := di.view.Canaries[di.part.Service]
	chosen := make([]placer.Target, 0, len(all))
	var other []placer.Target
	for nn := range all {
		ta := &all[nn]
		if di.view.Evacuated[ta.DataCentre] || !ve.Allows(ta.Version) {
			continue
		}
		if ve.Next != "" && ta.Version == ve.Next && !canaries[ta.ID] {
			continue
		}
		if ve.Next != "" && (ta.Version == ve.Next) != di.newVersion {
			other = append(other, ta.Target)
			continue
		}
		chosen = append(chosen, ta.Target)
	}
	if untried(chosen, di.tried) || ve.NoFallback || !di.newVersion && ve.Next != "" {
		return chosen
	}
	return append(chosen, other...)
}

// untried reports whether the list contains a target that has not been tried.
func untried(targets []placer.Target, tried []string) bool {
	for nn := range targets {
		found := false
		for _, id := range tried {
			found = found || id == targets[nn].ID
		}
		if !found {
			return true
		}
	}
	return false
}

// recordAttempt records what an attempt showed about the target and its node.
func (di *dispatch) recordAttempt(ta placer.Target, rs *result) {
	now := di.config.Now()
	di.mu.Lock()
	defer di.mu.Unlock()
	di.placer.End(ta.ID, di.rq.route.Name, rs.report, now)
	if rs.nodeFailed {
		di.placer.MarkUnreachable(ta.Node, ta.DataCentre, now)
	} else if rs.report != nil {
		di.placer.RecordResponse(ta.DataCentre)
	}
	di.avoid(ta.ID, rs, now)
	if rs.linkFull {
		di.fullLinks = append(di.fullLinks, ta.ID)
	}
	if rs.reached {
		di.reached++
	}
	if rs.kind == answerer.NoTarget || rs.kind == answerer.Draining {
		di.staleTargets++
	} else {
		di.placements++
	}
	if rs.retryAfter > 0 && (di.shortestRetryAfter == 0 || rs.retryAfter < di.shortestRetryAfter) {
		di.shortestRetryAfter = rs.retryAfter
	}
}

// avoid makes the placer avoid a target that refused the request. The caller must hold
// ca.mu.
func (di *dispatch) avoid(id string, rs *result, now time.Time) {
	switch {
	case rs.outcome != retrier.NotRun, rs.reached, rs.kind == answerer.Cancelled:
		return
	case rs.linkFull:
		return // it concerns large responses only; the report tells of it
	case rs.hedge && rs.kind == answerer.Overloaded:
		return // a target without a free slot for a hedge may still queue other requests
	}
	rank := di.rq.rank()
	if rs.kind != answerer.Overloaded {
		rank = admitter.Nested // the target refuses requests of every rank
	}
	di.placer.Avoid(id, rank, max(rs.retryAfter, minRetryAfter), now)
}

// isFinal reports whether the attempt's result ends the request.
func (di *dispatch) isFinal(ctx context.Context, rs *result) bool {
	if ctx.Err() != nil || rs.kind == answerer.Cancelled {
		return true
	}
	safe := di.rq.route.Kind == matcher.Idempotent
	switch {
	case rs.outcome == retrier.Answered && !rs.failed():
		return true
	case rs.outcome != retrier.NotRun && !safe:
		return true
	case !rs.reached && rs.outcome == retrier.NotRun:
		return false // the target did no work for it
	}
	return !di.mayRepeat(rs)
}

// mayRepeat reports whether a request that reached a target may be sent to
// another one, subject to the service's retry budget.
func (di *dispatch) mayRepeat(rs *result) bool {
	now := di.config.Now()
	work := di.averageProcessingTime(di.rq.route.Name)
	if di.reached >= di.rq.route.Attempts || now.Add(work).After(di.rq.deadline) {
		return false
	}
	re := budgeter.Retry{
		Nodes: len(di.view.Nodes), Calls: di.expectedCalls(di.rq.route.Name),
		LastAttempt: di.rq.returning,
	}
	di.mu.Lock()
	allowed := di.budget(di.part.Service).Take(re, now)
	di.mu.Unlock()
	di.rq.repeat = true
	di.logEvent(true, "repeat", di.rq, func() map[string]any {
		return map[string]any{
			"allowed": allowed, "outcome": rs.outcome.String(), "kind": rs.kind.String(),
			"target": di.rq.target, "attempt": di.reached, "service": di.part.Service,
			"last": re.LastAttempt, "calls": re.Calls,
		}
	})
	return allowed
}
