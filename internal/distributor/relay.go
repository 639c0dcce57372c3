package distributor

import (
	"context"
	"time"

	"github.com/guavastall/guavastall/internal/relayer"
	"github.com/guavastall/guavastall/pkg/checker"
)

// maxAnnouncedPeers bounds the announced addresses contacted in addition to the
// neighbours.
const maxAnnouncedPeers = 8

// Receiver serves the calls of other nodes. It is registered with net/rpc
// under the name "Distributor".
type Receiver struct {
	ds *Distributor
}

// Receiver returns the receiver of this node.
func (ds *Distributor) Receiver() *Receiver { return &Receiver{ds: ds} }

// Push handles the records and facts of a neighbour and returns this node's
// digest.
func (rc *Receiver) Push(args relayer.Push, reply *relayer.Digest) error {
	rc.ds.update(func(rl *relayer.Relayer, now time.Time) {
		*reply = rl.HandlePush(args, now)
	})
	return nil
}

// Digest handles the digest of a neighbour and returns this node's digest.
func (rc *Receiver) Digest(args relayer.Push, reply *relayer.Digest) error {
	return rc.Push(args, reply)
}

// Pull returns the records and facts that the caller lacks.
func (rc *Receiver) Pull(args relayer.Pull, reply *relayer.Reply) error {
	rc.ds.update(func(rl *relayer.Relayer, now time.Time) {
		*reply = rl.HandlePull(args, now)
	})
	return nil
}

// callResult is the outcome of a call.
type callResult struct {
	action relayer.Action
	reply  relayer.Reply
	err    error
}

// runCalls makes the calls that the relayer plans, each in its own goroutine.
// At most two run per neighbour.
func (ds *Distributor) runCalls(ctx context.Context) {
	results := make(chan callResult)
	running := 0
	var membersAt time.Time
	for ctx.Err() == nil {
		now := ds.config.Now()
		if now.Sub(membersAt) >= ds.config.Tick {
			membersAt = now
			ds.refreshNeighbours()
		}
		actions, next := ds.plan()
		for _, ac := range actions {
			running++
			go func() { results <- ds.call(ctx, ac) }()
		}
		timer := time.NewTimer(min(ds.config.Tick, max(time.Millisecond, next.Sub(now))))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-ds.wake:
		case re := <-results:
			running--
			ds.handleResult(re)
		}
		timer.Stop()
	}
	for ; running > 0; running-- {
		<-results
	}
}

// plan returns the calls to make now and the time of the next ones.
func (ds *Distributor) plan() ([]relayer.Action, time.Time) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	now := ds.config.Now()
	ds.updateReadiness(now)
	return ds.relayer.Plan(now)
}

// refreshNeighbours sets the relayer's neighbours from the membership. A node
// that is stale or has no neighbours adds the seeds and the announced addresses.
func (ds *Distributor) refreshNeighbours() {
	nodes := ds.config.Members.Neighbours()
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if ds.stale || len(nodes) == 0 {
		nodes = append(nodes[:len(nodes):len(nodes)], ds.config.Seeds...)
		nodes = append(nodes, ds.announced...)
	}
	ds.relayer.SetNeighbours(nodes, ds.config.Now())
}

// call makes the call of one action.
func (ds *Distributor) call(ctx context.Context, ac relayer.Action) callResult {
	ctx, cancel := context.WithTimeout(ctx, ds.config.CallTimeout)
	defer cancel()
	re := callResult{action: ac}
	if ac.Pull != nil {
		re.err = ds.config.Caller.Call(ctx, ac.To, "Distributor.Pull", *ac.Pull, &re.reply)
		return re
	}
	method := "Distributor.Digest"
	if len(ac.Push.Records)+len(ac.Push.Facts) > 0 {
		method = "Distributor.Push"
	}
	re.err = ds.config.Caller.Call(ctx, ac.To, method, *ac.Push, &re.reply.Digest)
	return re
}

// handleResult updates the counters and passes the outcome of a call to the
// relayer.
func (ds *Distributor) handleResult(re callResult) {
	ds.updateStats(func(st *Stats) {
		switch {
		case re.action.Pull != nil:
			st.Pulls++
		case len(re.action.Push.Records)+len(re.action.Push.Facts) > 0:
			st.Pushes++
		default:
			st.Digests++
		}
		if re.err != nil {
			st.FailedCalls++
		}
	})
	ds.update(func(rl *relayer.Relayer, now time.Time) {
		if re.err != nil {
			rl.HandleFailure(re.action, now)
			return
		}
		rl.HandleReply(re.action, re.reply, now)
	})
	if re.err != nil {
		ds.config.Logger.WithError(re.err).WithField("node", re.action.To).
			Debug("call to neighbour failed")
	}
}

// peerCounts returns the relayer's counts of its neighbours.
func (ds *Distributor) peerCounts() relayer.PeerCounts {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return ds.relayer.PeerCounts()
}

// setAnnounced stores announced addresses and passes them to the membership.
func (ds *Distributor) setAnnounced(nodes []checker.NodeID) {
	ds.mu.Lock()
	ds.announced = nodes[:min(len(nodes), maxAnnouncedPeers)]
	ds.mu.Unlock()
	if ds.config.Found != nil && len(nodes) > 0 {
		ds.config.Found(nodes)
	}
	ds.refreshNeighbours()
	ds.wakeRelay()
}
