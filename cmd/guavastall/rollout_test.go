package main

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/logserver"
	"github.com/guavastall/guavastall/internal/targetserver"
	"github.com/guavastall/guavastall/pkg/checker"
	"github.com/guavastall/guavastall/pkg/operator"
)

// publishShortSteps publishes the example document with rollout steps of 1 s.
func (me *mesh) publishShortSteps() checker.Revision {
	doc, err := readDocument("../../examples/yaadgar.json")
	require.NoError(me.t, err)
	pr := doc.Profiles["scans"]
	pr.Rollout.Steps = []float64{0.02, 0.2, 1}
	pr.Rollout.StepTime = checker.Duration(time.Second)
	pr.Rollout.MinCalls = 4
	pr.Limits.WarmTime = checker.Duration(time.Second)
	doc.Profiles["scans"] = pr
	cl := me.nodes[0].operator
	ac, err := cl.Publish(me.t.Context(), operator.Publication{ID: uuid.NewString(), Document: doc})
	require.NoError(me.t, err)
	me.awaitConvergence(cl, ac.Revision)
	return ac.Revision
}

// awaitPhase waits until the node reports the move in the phase.
func (me *mesh) awaitPhase(no *meshNode, id checker.MoveID, phase string, limit time.Duration) {
	var last operator.Move
	require.Eventually(me.t, func() bool {
		list, err := no.operator.Moves(me.t.Context())
		if err != nil {
			return false
		}
		for _, mo := range list {
			if mo.ID == id {
				last = mo
			}
		}
		return last.Phase == phase
	}, limit, 50*time.Millisecond, "move %d is not %s: %+v", id, phase, &last)
}

// Guards against a good version that does not receive all traffic by its deadline,
// and against a faulty version that is not rolled back while the log is unavailable.
func TestRollouts(t *testing.T) {
	t.Parallel()
	me := newMesh(t)
	for _, version := range []string{"v1", "v2", "v3"} {
		for dc := range 2 {
			me.add(dc, version)
		}
	}
	me.awaitAlive(6)
	me.publishShortSteps()
	result := load(t, 45*time.Second, me.nodes[:2], nil)

	begun := time.Now()
	good := me.choose(me.nodes[0], operator.Choice{
		Version: "v2", Deadline: time.Now().Add(25 * time.Second),
	})
	me.awaitPhase(me.nodes[1], good.Move, "done", 25*time.Second)
	t.Logf("the rollout of the good version took %v", time.Since(begun).Round(time.Millisecond))

	for _, no := range me.nodes[4:] {
		post(t, no.targetAt, "/control", map[string]any{
			"faults": []targetserver.Fault{{Kind: targetserver.FaultError}},
		})
	}
	begun = time.Now()
	bad := me.choose(me.nodes[0], operator.Choice{Version: "v3"})
	me.setLogFaults(logserver.Faults{Outage: logserver.Hang})
	for _, no := range me.nodes[:2] {
		me.awaitPhase(no, bad.Move, "takenBack", 20*time.Second)
	}
	t.Logf("the rollback of the faulty version took %v", time.Since(begun).Round(time.Millisecond))
	time.Sleep(time.Second)
	exposedCalls := me.nodes[4].executions(t).Calls + me.nodes[5].executions(t).Calls
	time.Sleep(2 * time.Second)
	require.Equal(t, exposedCalls, me.nodes[4].executions(t).Calls+me.nodes[5].executions(t).Calls,
		"a version that was rolled back receives calls")
	me.setLogFaults(logserver.Faults{})
	re := <-result
	me.requireIntact(re)
	require.Less(t, float64(exposedCalls), 0.01*float64(re.Good), "exposed %d calls", exposedCalls)
	require.Less(t, re.Failed, int64(exposedCalls)+1)
	require.Zero(t, re.Broken+re.Unknown, "%+v", re)
}

// tableLag is well above the 50 ms that may pass until the routing table of a node
// reflects a change of its members.
const tableLag = 500 * time.Millisecond

// Guards against a call that runs twice when the caller resends it to another
// node, after the owner of its key was killed, or while the log loses responses.
func TestResends(t *testing.T) {
	t.Parallel()
	me := newMesh(t)
	for _, dc := range []int{0, 0, 1, 1} {
		me.add(dc, "v1")
	}
	me.awaitAlive(4)
	me.publish()
	me.setLogFaults(logserver.Faults{DropEvery: 3})
	client := &http.Client{Timeout: 6 * time.Second}
	const keys, killAt = 40, 20
	ids := make([]string, 0, keys)
	answers := map[int][]string{}
	for nn := range keys {
		key := uuid.NewString()
		ids = append(ids, key)
		for attempt := range 4 {
			if nn == killAt && attempt == 1 {
				me.nodes[3].kill()
				// A suspect node remains the owner of its keys.
				me.awaitDead(3)
				time.Sleep(tableLag)
			}
			no := me.nodes[(nn+attempt)%4]
			if !no.running() {
				continue
			}
			req, err := http.NewRequest(http.MethodPost, "http://"+no.callers.String()+"/confirm", nil)
			require.NoError(t, err)
			req.Header.Set("Guavastall-Service", "tag")
			req.Header.Set("Idempotency-Key", key)
			req.Header.Set(targetserver.HeaderID, key)
			resp, err := client.Do(req)
			if err != nil {
				answers[nn] = append(answers[nn], err.Error())
				continue
			}
			_ = resp.Body.Close()
			answers[nn] = append(answers[nn], resp.Status+" "+resp.Header.Get("Guavastall-Error"))
		}
	}
	counts := map[string]int{}
	for _, no := range me.nodes {
		require.Empty(t, no.executions(t).Repeated)
		for _, id := range ids {
			counts[id] += no.executionsOf(t, id)
		}
	}
	for nn, id := range ids {
		require.LessOrEqual(t, counts[id], 1, "call %d ran on several targets", nn)
		if nn != killAt {
			require.Equal(t, 1, counts[id], "call %d did not run: %v", nn, answers[nn])
		}
	}
}
