package placer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// centreTargets returns count targets of the data centre, each at a node of its own.
func centreTargets(dataCentre string, network byte, count int) []Target {
	var all []Target
	for nn := range count {
		all = append(all, Target{
			ID:         fmt.Sprint(dataCentre, nn),
			Node:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, network, byte(nn)}), 1),
			DataCentre: dataCentre, Slots: 18,
		})
	}
	return all
}

// Guards against requests that spill over into a data centre that is cut off, one for
// each of its targets, while its targets look idle because they send no reports.
func TestDataCentreCutOff(t *testing.T) {
	now := time.Unix(1_000, 0)
	pl := New(rand.New(rand.NewPCG(1, 1)))
	far := centreTargets("far", 1, 16)
	re := Request{DataCentre: "near", Route: "r", Objective: time.Second}
	failed := 0
	for {
		ch, ok := pl.Pick(far, re, now)
		if !ok {
			break
		}
		failed++
		pl.MarkUnreachable(ch.Target.Node, "far", now)
	}
	assert.Equal(t, suspectThreshold, failed)
	assert.True(t, pl.centres["far"].suspected())
	_, ok := pl.Pick(centreTargets("other", 2, 1), re, now)
	assert.True(t, ok, "other data centres are used")
	re.DataCentre = "far"
	_, ok = pl.Pick(far, re, now)
	assert.True(t, ok, "a node never gives up its own data centre")

	re.DataCentre = "near"
	later := now.Add(minProbeDelay)
	_, ok = pl.Pick(far, re, later)
	require.False(t, ok)
	due := pl.ProbesDue(later)
	require.Len(t, due, failed+1, "the failed nodes and another one are probed")
	pl.MarkReachable(due[0])
	_, ok = pl.Pick(far, re, later)
	assert.True(t, ok, "one response shows that the data centre has returned")
}

// Guards against a data centre that is given up although its nodes respond: failures of
// single nodes between responses do not add up.
func TestSingleFailuresDontSuspectDataCentre(t *testing.T) {
	now := time.Unix(1_000, 0)
	pl := New(rand.New(rand.NewPCG(1, 1)))
	for _, ta := range centreTargets("far", 1, 8) {
		pl.recordFailure("far", ta.Node, now)
		assert.False(t, pl.centres["far"].suspected())
		pl.RecordResponse("far")
	}
	assert.Empty(t, pl.centres)
}
