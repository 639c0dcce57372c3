package pacer

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const mbit = 1e6

var epoch = time.Unix(1_000, 0)

func TestLinkWithoutRate(t *testing.T) {
	li := New(0)
	assert.False(t, li.Large(math.MaxInt32))
	li.Count(1<<30, epoch)
	assert.Zero(t, li.Backlog(epoch))
	tr, _ := li.Admit(Offer{Bytes: 1 << 30, Due: epoch}, epoch)
	assert.NotNil(t, tr)
}

func TestAdmit(t *testing.T) {
	li := New(8 * mbit / usableFraction) // one byte a microsecond
	offer := func(due time.Duration) Offer {
		return Offer{
			Bytes: 100_000, Work: 50 * time.Millisecond,
			Due: epoch.Add(due), Latest: epoch.Add(3 * time.Second),
		}
	}
	first, _ := li.Admit(offer(200*time.Millisecond), epoch)
	require.NotNil(t, first)
	second, _ := li.Admit(offer(200*time.Millisecond), epoch)
	require.NotNil(t, second)
	third, retryAfter := li.Admit(offer(200*time.Millisecond), epoch)
	require.Nil(t, third, "the two before it take 200 ms")
	assert.Equal(t, 100*time.Millisecond, retryAfter)

	earlier, _ := li.Admit(offer(170*time.Millisecond), epoch)
	require.NotNil(t, earlier, "only bodies that are due before it count")
	li.End(earlier)

	late := offer(200 * time.Millisecond)
	late.Patience = 250 * time.Millisecond
	_, retryAfter = li.Admit(late, epoch)
	assert.Equal(t, 50*time.Millisecond, retryAfter, "200 ms and its own 100 exceed 250")
	late.Patience = 300 * time.Millisecond
	tr, _ := li.Admit(late, epoch)
	require.NotNil(t, tr)
	li.End(tr)
	li.End(first)
	li.End(second)
	assert.Zero(t, li.Backlog(epoch))
}

func TestGrantOrder(t *testing.T) {
	li := New(8 * mbit / usableFraction)
	now := epoch
	late := li.Start(epoch.Add(-time.Millisecond), epoch.Add(time.Second))
	slow := li.Start(epoch.Add(400*time.Millisecond), epoch.Add(time.Second))
	soon := li.Start(epoch.Add(300*time.Millisecond), epoch.Add(time.Second))
	tr, _, _ := li.Grant(now)
	assert.Nil(t, tr, "none is ready")
	for _, tr := range []*Transfer{late, slow, soon} {
		li.Ready(tr, 20_000)
	}
	var order []*Transfer
	for range 6 {
		tr, bytes, _ := li.Grant(now)
		require.NotNil(t, tr)
		assert.Equal(t, 10_000, bytes)
		li.Written(tr)
		order = append(order, tr)
		now = now.Add(10 * time.Millisecond)
	}
	assert.Equal(t, []*Transfer{soon, soon, slow, slow, late, late}, order)
	tr, _, wait := li.Grant(now)
	assert.Nil(t, tr)
	assert.Zero(t, wait, "nothing is left")
}

// A receiver that takes no bytes does not hold up the others for long.
func TestStalledReceivers(t *testing.T) {
	li := New(8 * mbit / usableFraction)
	now := epoch
	for range maxWriting {
		stalled := li.Start(epoch, epoch)
		li.Ready(stalled, 20_000)
		tr, _, _ := li.Grant(now)
		require.Equal(t, stalled, tr)
		now = now.Add(20 * time.Millisecond)
	}
	sound := li.Start(epoch, epoch)
	li.Ready(sound, 20_000)
	tr, _, wait := li.Grant(now)
	require.Nil(t, tr)
	tr, _, _ = li.Grant(now.Add(wait))
	assert.Equal(t, sound, tr)
}

// body is a request for a large response in a replay.
type body struct {
	arrived, ready time.Duration
	bytes          float64
	left           float64
	transfer       *Transfer
	ended          time.Duration
}

// replay is a load of large responses on a link of 12 Mbit/s, with a small message
// every 5 ms, over 20 s in steps of 1 ms.
type replay struct {
	// load is the ratio of the offered bytes to the rate of the link.
	load float64
}

const (
	replayRate  = 12 * mbit / 8 // bytes per second
	replayBytes = 90_000.0
	replayWork  = 200 * time.Millisecond
	objective   = 800 * time.Millisecond
	deadline    = 4 * time.Second
	replayTime  = 20 * time.Second
	smallBytes  = 400
)

func (rp replay) arrivals(random *rand.Rand) []*body {
	var all []*body
	mean := float64(time.Second) * replayBytes / (replayRate * rp.load)
	for at := 0.0; at < float64(replayTime); at += random.ExpFloat64() * mean {
		arrived := time.Duration(at)
		work := time.Duration((0.5 + random.Float64()) * float64(replayWork))
		bytes := replayBytes * math.Exp(0.55*random.NormFloat64()-0.15)
		all = append(all, &body{arrived: arrived, ready: arrived + work, bytes: bytes, left: bytes})
	}
	return all
}

// paced plays the load through a Link. It returns the shares of the requests that
// were answered in time and in all, and the longest wait of a small message.
func (rp replay) paced(random *rand.Rand) (inTime, served float64, small time.Duration) {
	li := New(12 * mbit)
	all := rp.arrivals(random)
	queue := 0.0 // bytes in the kernel and on the link
	for step := range int((replayTime + deadline).Milliseconds()) {
		elapsed := time.Duration(step) * time.Millisecond
		now := epoch.Add(elapsed)
		queue = max(queue-replayRate/1000, 0)
		if step%5 == 0 {
			small = max(small, time.Duration(queue/replayRate*float64(time.Second)))
			li.Count(smallBytes, now)
			queue += smallBytes
		}
		for _, bo := range all {
			switch {
			case bo.arrived <= elapsed && bo.arrived > elapsed-time.Millisecond:
				bo.transfer, _ = li.Admit(Offer{
					Bytes: replayBytes, Work: replayWork, Due: epoch.Add(bo.arrived + objective),
					Latest: epoch.Add(bo.arrived + deadline*7/8), Patience: objective,
				}, now)
			case bo.transfer != nil && bo.ready <= elapsed && !bo.transfer.ready:
				li.Ready(bo.transfer, int(bo.bytes))
			}
		}
		for {
			tr, bytes, _ := li.Grant(now)
			if tr == nil {
				break
			}
			queue += float64(bytes)
			li.Written(tr)
			if tr.left == 0 {
				li.End(tr)
				for _, bo := range all {
					if bo.transfer == tr {
						bo.ended = elapsed + time.Duration(queue/replayRate*float64(time.Second))
					}
				}
			}
		}
	}
	inTime, served = shares(all)
	return inTime, served, small
}

// naive begins every body at once; all share the link equally.
func (rp replay) naive(random *rand.Rand) (inTime, served float64, small time.Duration) {
	// window is what the kernel holds for each connection.
	const window = 64 << 10
	all := rp.arrivals(random)
	for step := range int((replayTime + deadline).Milliseconds()) {
		elapsed := time.Duration(step) * time.Millisecond
		var active []*body
		ahead := 0.0
		for _, bo := range all {
			if bo.ready <= elapsed && bo.left > 0 && elapsed < bo.arrived+deadline {
				active = append(active, bo)
				ahead += min(bo.left, window)
			}
		}
		small = max(small, time.Duration(ahead/replayRate*float64(time.Second)))
		for _, bo := range active {
			bo.left -= replayRate / 1000 / float64(len(active))
			if bo.left <= 0 {
				bo.ended = elapsed
			}
		}
	}
	inTime, served = shares(all)
	return inTime, served, small
}

func shares(all []*body) (inTime, served float64) {
	for _, bo := range all {
		if bo.ended > 0 && bo.ended <= bo.arrived+objective {
			inTime++
		}
		if bo.ended > 0 && bo.ended <= bo.arrived+deadline {
			served++
		}
	}
	return inTime / float64(len(all)), served / float64(len(all))
}

// Replays downloads that take 0.8 to 1.8 times the link: what the link can carry
// arrives, most of it in time, and small messages don't wait behind it.
func TestDownloadsBeyondLink(t *testing.T) {
	for _, load := range []float64{0.8, 1, 1.3, 1.8} {
		rp := replay{load}
		inTime, served, small := rp.paced(rand.New(rand.NewPCG(1, 1)))
		naiveInTime, naiveServed, naiveSmall := rp.naive(rand.New(rand.NewPCG(1, 1)))
		limit := min(1, usableFraction/load)
		t.Logf("load %.1f: in time %.3f, served %.3f, small message waits %v; "+
			"naive %.3f, %.3f, %v; limit %.3f",
			load, inTime, served, small, naiveInTime, naiveServed, naiveSmall, limit)
		assert.GreaterOrEqual(t, served, 0.85*limit, "load %.1f", load)
		assert.GreaterOrEqual(t, inTime, 0.5*limit, "load %.1f", load)
		assert.LessOrEqual(t, small, 3*partTime, "load %.1f", load)
		if load > 1 {
			assert.Greater(t, inTime, 2*naiveInTime, "load %.1f", load)
			assert.Greater(t, served, naiveServed, "load %.1f", load)
		}
	}
}
