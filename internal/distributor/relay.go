package distributor

import (
	"context"
	"time"

	"github.com/guavastall/guavastall/internal/relayer"
	"github.com/guavastall/guavastall/pkg/checker"
)

// maxFound bounds the announced addresses that are asked besides neighbours.
const maxFound = 8

// Receiver serves the calls of other nodes. It is registered with net/rpc
// under the name "Distributor".
type Receiver struct {
	ds *Distributor
}

// Receiver returns the receiver of this node.
func (ds *Distributor) Receiver() *Receiver { return &Receiver{ds: ds} }

// Push takes news from a neighbour and answers with the digest of this node.
func (rc *Receiver) Push(args relayer.Push, reply *relayer.Digest) error {
	rc.ds.update(func(rl *relayer.Relayer, now time.Time) {
		*reply = rl.Receive(args, now)
	})
	return nil
}

// Digest takes the digest of a neighbour and answers with that of this node.
func (rc *Receiver) Digest(args relayer.Push, reply *relayer.Digest) error {
	return rc.Push(args, reply)
}

// Pull answers with what the caller lacks.
func (rc *Receiver) Pull(args relayer.Pull, reply *relayer.Reply) error {
	rc.ds.update(func(rl *relayer.Relayer, now time.Time) {
		*reply = rl.Serve(args, now)
	})
	return nil
}

// result is the end of a call.
type result struct {
	action relayer.Action
	reply  relayer.Reply
	err    error
}

// relay carries out what the relayer plans. Each call runs in a goroutine that
// reports its end; there are at most two per neighbour.
func (ds *Distributor) relay(ctx context.Context) {
	results := make(chan result)
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
			ds.finish(re)
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
	ds.settle(now)
	return ds.relayer.Plan(now)
}

// refreshNeighbours takes over the neighbours of the membership. A stale node
// also asks the seeds and the announced addresses.
func (ds *Distributor) refreshNeighbours() {
	nodes := ds.config.Members.Neighbours()
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if ds.stale || len(nodes) == 0 {
		nodes = append(nodes[:len(nodes):len(nodes)], ds.config.Seeds...)
		nodes = append(nodes, ds.found...)
	}
	ds.relayer.SetNeighbours(nodes, ds.config.Now())
}

// call carries out one action.
func (ds *Distributor) call(ctx context.Context, ac relayer.Action) result {
	ctx, cancel := context.WithTimeout(ctx, ds.config.CallTimeout)
	defer cancel()
	re := result{action: ac}
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

// finish hands the end of a call to the relayer.
func (ds *Distributor) finish(re result) {
	ds.count(func(st *Stats) {
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
			rl.Fail(re.action, now)
			return
		}
		rl.Succeed(re.action, re.reply, now)
	})
	if re.err != nil {
		ds.config.Logger.WithError(re.err).WithField("node", re.action.To).
			Debug("neighbour did not answer")
	}
}

// contact returns what became of the attempts to reach the neighbours.
func (ds *Distributor) contact() relayer.Contact {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return ds.relayer.Contact()
}

// useFound keeps announced addresses and hands them to the membership.
func (ds *Distributor) useFound(nodes []checker.NodeID) {
	ds.mu.Lock()
	ds.found = nodes[:min(len(nodes), maxFound)]
	ds.mu.Unlock()
	if ds.config.Found != nil && len(nodes) > 0 {
		ds.config.Found(nodes)
	}
	ds.refreshNeighbours()
	ds.poke()
}
