package registrar

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var born = time.UnixMilli(1_000_000)

func heartbeat(id string, sequence uint64, start time.Time) Heartbeat {
	return Heartbeat{
		ID: id, Service: "desk", Version: "v1", Slots: 9, Sequence: sequence, Born: start,
	}
}

func TestHeartbeats(t *testing.T) {
	var lt LocalTarget
	assert.Equal(t, Changed, lt.Heartbeat(heartbeat("a", 3, born)))
	assert.Equal(t, Ready, lt.Current().State)
	assert.Equal(t, Stale, lt.Heartbeat(heartbeat("a", 3, born)), "same sequence")
	assert.Equal(t, Stale, lt.Heartbeat(heartbeat("a", 2, born)), "received out of order")
	assert.Equal(t, Repeated, lt.Heartbeat(heartbeat("a", 4, born)))
	assert.Equal(t, Stale, lt.Heartbeat(heartbeat("b", 9, born.Add(-time.Second))),
		"a delayed heartbeat of an earlier incarnation")
	assert.Equal(t, "a", lt.Current().ID)
	assert.Equal(t, Changed, lt.Heartbeat(heartbeat("a", 1, born.Add(time.Second))),
		"a new incarnation reuses the ID and restarts the sequence")
	assert.Equal(t, uint64(1), lt.Current().Sequence)
}

func TestDrainingStays(t *testing.T) {
	var lt LocalTarget
	lt.Heartbeat(heartbeat("a", 1, born))
	he := heartbeat("a", 2, born)
	he.Draining = true
	assert.Equal(t, Changed, lt.Heartbeat(he))
	assert.Equal(t, Leaving, lt.Current().State)
	lt.Heartbeat(heartbeat("a", 3, born))
	assert.Equal(t, Leaving, lt.Current().State, "an incarnation cannot stop leaving")
}

func TestLeave(t *testing.T) {
	var lt LocalTarget
	assert.False(t, lt.Leave("x", born), "no target is known")
	lt.Heartbeat(heartbeat("a", 1, born))
	assert.False(t, lt.Leave("b", born), "not the current target")
	assert.True(t, lt.Leave("a", born))
	assert.Equal(t, Leaving, lt.Current().State)
	assert.Equal(t, Stale, lt.Heartbeat(heartbeat("a", 2, born)), "a delayed heartbeat")
	assert.Equal(t, Changed, lt.Heartbeat(heartbeat("a", 1, born.Add(time.Second))))
	assert.Equal(t, Ready, lt.Current().State)
}

// After a restart, the node learns that its target leaves before it restores the
// target as ready from its own earlier entry.
func TestLeaveBeforeRestore(t *testing.T) {
	var lt LocalTarget
	assert.False(t, lt.Leave("a", born.Add(time.Minute)))
	lt.Restore(Instance{Heartbeat: heartbeat("a", 5, born), State: Ready})
	assert.Equal(t, Leaving, lt.Current().State)
	assert.Equal(t, Stale, lt.Heartbeat(heartbeat("a", 6, born)))
	assert.Equal(t, Changed, lt.Heartbeat(heartbeat("a", 1, born.Add(2*time.Minute))))
	assert.Equal(t, Ready, lt.Current().State)
}

func TestEntryRoundTrip(t *testing.T) {
	node := netip.MustParseAddrPort("10.0.0.1:80")
	in := Instance{Heartbeat: heartbeat("a", 5, born), State: Leaving}
	in.Draining = true
	en := NewEntry(node, "north", in)
	en.Incarnation, en.Revision = 3, 2
	data, err := en.Encode()
	require.NoError(t, err)
	got, err := DecodeEntry(en.Key(), data)
	require.NoError(t, err)
	assert.Equal(t, &en, got)
	assert.False(t, got.Usable())
	assert.True(t, (&Entry{Target: "a"}).Usable())
	assert.False(t, (&Entry{Target: "a", Down: true}).Usable())
	back := got.Instance()
	assert.Equal(t, Leaving, back.State)
	assert.True(t, back.Born.Equal(born))
}

func FuzzDecodeEntry(f *testing.F) {
	f.Add([]byte(`{"node":"10.0.0.1:80","target":"a","service":"s","slots":1}`))
	f.Add([]byte(`{"node":"10.0.0.1:80"}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, data []byte) {
		en, err := DecodeEntry("10.0.0.1", data)
		if err == nil && en.Usable() && (en.Slots < 1 || en.Service == "" || !en.Node.IsValid()) {
			t.Fatalf("usable entry without slots, service or node: %+v", en)
		}
	})
}

// Entries that another writer left are ignored, and the sound ones hold.
func TestOddEntries(t *testing.T) {
	var di Directory
	sound := `{"node":"10.0.0.1:80","incarnation":1,"target":"a","service":"s","slots":3}`
	require.NoError(t, di.Set("10.0.0.1", []byte(sound)))
	odd := map[string]string{
		"empty":                "",
		"nested deeply":        strings.Repeat("[", 100_000),
		"nested in a field":    `{"node":"10.0.0.2:80","x":` + strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000) + `}`,
		"port out of range":    `{"node":"10.0.0.2:70000"}`,
		"port zero":            `{"node":"10.0.0.2:0"}`,
		"no port":              `{"node":"10.0.0.2"}`,
		"unspecified address":  `{"node":"[::]:80"}`,
		"multicast address":    `{"node":"224.0.0.1:80"}`,
		"another node":         `{"node":"10.0.0.1:80"}`,
		"number too large":     `{"node":"10.0.0.2:80","incarnation":1e400}`,
		"greatest incarnation": `{"node":"10.0.0.2:80","incarnation":9223372036854775807}`,
		"negative incarnation": `{"node":"10.0.0.2:80","incarnation":-1}`,
		"greatest revision":    `{"node":"10.0.0.2:80","revision":9223372036854775807}`,
		"slots too large":      `{"node":"10.0.0.2:80","target":"b","service":"s","slots":9223372036854775807}`,
		"negative slots":       `{"node":"10.0.0.2:80","slots":-1}`,
		"capacity too large":   `{"node":"10.0.0.2:80","capacity":1e300}`,
		"wrong type":           `{"node":"10.0.0.2:80","slots":"three"}`,
		"no service":           `{"node":"10.0.0.2:80","target":"b","slots":3}`,
		"long name":            `{"node":"10.0.0.2:80","target":"` + strings.Repeat("b", 1000) + `","service":"s","slots":3}`,
		"long":                 `{"node":"10.0.0.2:80"` + strings.Repeat(" ", maxEntryBytes) + `}`,
		"not UTF-8":            "\xff\xfe",
		"a list":               `[]`,
	}
	for name, text := range odd {
		require.Error(t, di.Set("10.0.0.2", []byte(text)), name)
		require.Len(t, di.Others(netip.AddrPort{}), 1, name)
	}
	require.Error(t, di.Set("not an address", []byte(sound)))
	require.NoError(t, di.Set("10.0.0.2", []byte(`{"node":"10.0.0.2:80"}`)))
	assert.Len(t, di.Others(netip.AddrPort{}), 2)
	assert.Len(t, di.Others(netip.MustParseAddrPort("10.0.0.2:80")), 1)
	require.Error(t, di.Set("10.0.0.1", []byte(`{}`)), "an odd entry replaces a sound one")
	assert.Len(t, di.Others(netip.AddrPort{}), 1)
	for nn := range 10_000 {
		require.Error(t, di.Set(fmt.Sprintf("10.1.%d.%d", nn/250, nn%250), []byte(odd["port out of range"])))
	}
	di.Delete("10.0.0.2")
	assert.Empty(t, di.Others(netip.AddrPort{}))
}
