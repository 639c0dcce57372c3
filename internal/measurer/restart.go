package measurer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Restart is the result of restarting many nodes at once.
type Restart struct {
	Killed int `json:"killed"`
	// Serving is the time from the start of the processes until all nodes serve at
	// least the revision from before the restart and have confirmed that it is the
	// newest.
	Serving checker.Duration `json:"serving"`
	// LogPeak is the greatest number of requests to the log in one second, until
	// observeTime after all nodes serve.
	LogPeak int `json:"logPeak"`
	// LogRequests is the number of requests to the log in the same period.
	LogRequests int `json:"logRequests"`
}

// observeTime is how long the log is observed after all nodes serve. Nodes serve the
// configuration from their peers before they read the log.
const observeTime = 5 * time.Second

// Restart kills a share of the nodes, starts them again and waits until all nodes
// serve.
func (me *Measurer) Restart(ctx context.Context, share float64) (Restart, error) {
	dep := me.deployment
	if dep.Kill == nil || dep.Start == nil {
		return Restart{}, errors.New("the deployment cannot stop and start nodes")
	}
	st, err := me.clients[dep.Nodes[0]].Status(ctx)
	if err != nil {
		return Restart{}, fmt.Errorf("read the revision: %w", err)
	}
	count := int(share * float64(len(dep.Nodes)))
	killed := dep.Nodes[len(dep.Nodes)-count:]
	if err := dep.Kill(killed); err != nil {
		return Restart{}, err
	}
	if err := me.ResetLogStats(ctx); err != nil {
		return Restart{}, err
	}
	began := time.Now()
	if err := dep.Start(killed); err != nil {
		return Restart{}, err
	}
	_, err = me.pollUntil(ctx, dep.Nodes, func(no *Node) bool {
		now, err := me.clients[no].Status(ctx)
		return err == nil && now.Ready && !now.Stale && now.Revision >= st.Revision
	})
	re := Restart{Killed: count, Serving: checker.Duration(time.Since(began))}
	if err != nil {
		return re, err
	}
	select {
	case <-ctx.Done():
		return re, ctx.Err()
	case <-time.After(observeTime):
	}
	stats, err := me.LogStats(ctx)
	re.LogPeak, re.LogRequests = stats.Peak, stats.Reads+stats.Appends
	return re, err
}
