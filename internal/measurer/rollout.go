package measurer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/guavastall/guavastall/internal/targetserver"
	"github.com/guavastall/guavastall/pkg/checker"
	"github.com/guavastall/guavastall/pkg/operator"
)

// Rollout is the result of one move to another target version.
type Rollout struct {
	To  checker.Version `json:"to"`
	Bad bool            `json:"bad"`
	// Phase is the phase in which the move ended.
	Phase string           `json:"phase"`
	Took  checker.Duration `json:"took"`
	// Exposed is the number of calls whose last attempt was answered by the new
	// version, successfully or not. Attempts that were retried are not counted.
	Exposed int64 `json:"exposed"`
	Calls   int64 `json:"calls"`
}

// RollOut moves the service to the version under load and waits until the move has
// ended or the span has elapsed.
func (me *Measurer) RollOut(
	ctx context.Context, service checker.Service, to checker.Version,
	rate float64, span time.Duration,
) (Rollout, error) {
	ro := Rollout{To: to}
	cl := me.clients[me.deployment.Nodes[0]]
	conf, err := cl.Configuration(ctx)
	if err != nil {
		return ro, err
	}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	type loaded struct {
		good, failed, exposed int64
		err                   error
	}
	result := make(chan loaded, 1)
	go func() {
		re, err := me.Load(loadCtx, "roll-"+string(to), service, rate, span)
		if err != nil {
			result <- loaded{err: err}
			return
		}
		result <- loaded{re.Good, re.Failed, re.Versions[string(to)], nil}
	}()
	began := time.Now()
	ac, err := cl.Choose(ctx, operator.Choice{
		ID: uuid.NewString(), Base: conf.Revision, Service: service, Version: to,
	})
	if err != nil {
		return ro, fmt.Errorf("choose version %s: %w", to, err)
	}
	ro.Phase = me.awaitMove(ctx, cl, ac.Move, began.Add(span))
	ro.Took = checker.Duration(time.Since(began))
	stop()
	ld := <-result
	ro.Calls, ro.Exposed = ld.good+ld.failed, ld.exposed
	return ro, ld.err
}

// SetFaults replaces the faults of the nodes' targets.
func (me *Measurer) SetFaults(
	ctx context.Context, nodes []*Node, faults []targetserver.Fault,
) error {
	data, err := json.Marshal(map[string]any{"faults": faults})
	if err != nil {
		return err
	}
	return me.each(nodes, func(_ int, no *Node) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost,
			"http://"+no.Target.String()+"/control", bytes.NewReader(data))
		if err != nil {
			return err
		}
		resp, err := me.http.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode >= http.StatusMultipleChoices {
			return fmt.Errorf("set the faults of target %v: status %d", no.Target, resp.StatusCode)
		}
		return nil
	})
}

// awaitMove waits until the move has ended or the deadline has passed, and returns
// its phase.
func (me *Measurer) awaitMove(
	ctx context.Context, cl *operator.Client, move checker.MoveID, deadline time.Time,
) string {
	phase := "unknown"
	for ctx.Err() == nil && time.Now().Before(deadline) {
		list, err := cl.Moves(ctx)
		for _, mo := range list {
			if err == nil && mo.ID == move {
				phase = mo.Phase
			}
		}
		if phase == "done" || phase == "takenBack" || phase == "superseded" {
			return phase
		}
		time.Sleep(pollInterval)
	}
	return phase
}

func (ro *Rollout) row(row func(string, ...any)) {
	row("move to %s (bad: %t)\t%s after %.1f s\t%d of %d calls exposed",
		ro.To, ro.Bad, ro.Phase, millis(ro.Took)/1000, ro.Exposed, ro.Calls)
}
