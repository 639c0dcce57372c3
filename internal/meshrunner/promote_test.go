package meshrunner

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/registrar"
	"github.com/guavastall/guavastall/internal/replicator"
	"github.com/guavastall/guavastall/internal/stager"
)

// memoryTopic is a topic in memory.
type memoryTopic struct {
	mu      sync.Mutex
	records []replicator.Record
}

func (mt *memoryTopic) Newest(ctx context.Context) (replicator.Snapshot, error) {
	return mt.Read(ctx, 0, 0)
}

func (mt *memoryTopic) Read(
	_ context.Context, from uint64, _ time.Duration,
) (replicator.Snapshot, error) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	return replicator.Snapshot{
		Records: append([]replicator.Record(nil), mt.records[from:]...),
		End:     uint64(len(mt.records)),
	}, nil
}

func (mt *memoryTopic) Append(
	_ context.Context, key string, value []byte, condition *uint64,
) (uint64, error) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	end := uint64(len(mt.records))
	if condition != nil && *condition != end {
		return end, ErrConflict
	}
	mt.records = append(mt.records, replicator.Record{Key: key, Value: value, Offset: end})
	return end + 1, nil
}

// statusEncoder encodes reports on rollouts. The other methods are not called.
type statusEncoder struct{ Decoder }

func (statusEncoder) EncodeStatus(mo stager.Move) (string, []byte, error) {
	return mo.Service, []byte(mo.State), nil
}

// Guards against a leader that decides on a rollout's earlier state while another one
// completes it: the rollout is not rolled back, because its old targets have stopped.
func TestDecisionOnEarlierStateIsDropped(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	mesh, status := &memoryTopic{}, &memoryTopic{}
	se := &Settings{DataCentre: "dc", Nodes: netip.MustParseAddrPort("127.0.0.2:1")}
	ru := New(se, Parts{
		Decoder: statusEncoder{}, Operator: &memoryTopic{}, Mesh: mesh, Status: status,
		Log: log, Metrics: metrics.NewRegistry(), Now: time.Now,
	})
	move := stager.Move{
		Order: 1, Service: "desk", Version: "v2", Base: "v1", State: stager.Active,
	}
	appendMove := func(mo stager.Move) {
		value, err := json.Marshal(mo)
		require.NoError(t, err)
		_, err = mesh.Append(t.Context(), movePrefix+mo.Service, value, nil)
		require.NoError(t, err)
	}
	// The other leader completes the rollout while this one collects evidence.
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		done := move
		done.State, done.Reason = stager.Complete, "all traffic moved"
		appendMove(done)
		assert.NoError(t, ru.mesh.Refresh(context.Background()))
		_, _ = w.Write([]byte(`{"service":"desk","version":"v2"}`))
	}))
	defer other.Close()
	node := netip.MustParseAddrPort(other.Listener.Addr().String())
	en := registrar.NewEntry(node, "dc", registrar.Instance{
		Heartbeat: registrar.Heartbeat{
			ID: "i-1", Service: "desk", Version: "v2", Slots: 1, Born: time.Unix(1, 0),
		},
		State: registrar.Ready,
	})
	value, err := en.Encode()
	require.NoError(t, err)
	_, err = mesh.Append(t.Context(), nodePrefix+node.Addr().String(), value, nil)
	require.NoError(t, err)
	appendMove(move)
	sn, err := mesh.Newest(t.Context())
	require.NoError(t, err)
	ru.applyMesh(ru.mesh.Reset(sn))
	require.Len(t, ru.entries(), 1)

	// Evidence is missing although half of the time is over, so that this leader would
	// roll the rollout back.
	ru.moves["desk"] = observedMove{
		Move: move, offset: ru.moves["desk"].offset, observedAt: time.Now().Add(-time.Minute),
	}
	or := stager.Order{Number: 1, Service: "desk", Version: "v2", Duration: time.Second}
	require.NoError(t, ru.advanceRollout(t.Context(), or, map[string]stager.Move{}))
	assert.Equal(t, stager.Complete, ru.moves["desk"].State)
	assert.Equal(t, string(stager.Complete), string(status.records[0].Value))
}
