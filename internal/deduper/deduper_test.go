package deduper

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// init sets a fixed seed for the property tests; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// naiveKey is the reference model's state of a key.
type naiveKey struct {
	state       state
	fingerprint uint64
	attempt     string
	response    Response
	has         bool
	size        int
	changed     time.Time
	ended       int
}

// naive is the reference model: a map that is searched linearly.
type naive struct {
	config Config
	keys   map[string]*naiveKey
	ends   int
}

func (na *naive) expire(now time.Time) {
	for key, nk := range na.keys {
		if nk.state != running && now.Sub(nk.changed) >= na.config.Retention {
			delete(na.keys, key)
		}
	}
}

func (na *naive) begin(key string, fp uint64, attempt string, resend bool, now time.Time) Decision {
	na.expire(now)
	nk, ok := na.keys[key]
	switch {
	case !ok && resend:
		return Decision{Action: Uncertain}
	case !ok && len(na.keys) >= na.config.Keys:
		return Decision{Action: Full}
	case !ok:
		na.keys[key] = &naiveKey{fingerprint: fp, attempt: attempt}
		return Decision{Action: Run, Attempt: attempt}
	case nk.fingerprint != fp:
		return Decision{Action: Duplicate}
	case nk.state == running:
		return Decision{Action: Wait}
	case nk.state == unknown:
		return Decision{Action: Uncertain}
	case nk.state == notRun:
		nk.state = running
		return Decision{Action: Run, Attempt: nk.attempt}
	case nk.has:
		return Decision{Action: Replay, Response: nk.response}
	}
	return Decision{Action: Duplicate}
}

func (na *naive) end(key string, to state, re *Response, now time.Time) {
	nk, ok := na.keys[key]
	if !ok || nk.state != running {
		return
	}
	na.ends++
	nk.state, nk.changed, nk.ended = to, now, na.ends
	if re == nil || len(re.Body) > na.config.Bytes {
		return
	}
	nk.has, nk.response, nk.size = true, *re, len(re.Body)
	for na.bytes() > na.config.Bytes {
		var oldest *naiveKey
		for _, other := range na.keys {
			if other.has && (oldest == nil || other.ended < oldest.ended) {
				oldest = other
			}
		}
		oldest.has = false
	}
}

func (na *naive) bytes() int {
	sum := 0
	for _, nk := range na.keys {
		if nk.has {
			sum += nk.size
		}
	}
	return sum
}

// Guards against decisions that differ from the reference model, a key that
// runs twice at the same time, and a store that exceeds its limits.
func TestStoreMatchesNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cf := Config{
			Keys:      rapid.IntRange(1, 6).Draw(rt, "keys"),
			Bytes:     rapid.IntRange(0, 30).Draw(rt, "bytes"),
			Retention: 10 * time.Second,
		}
		st, na := NewStore(cf), &naive{config: cf, keys: map[string]*naiveKey{}}
		now := time.Unix(1000, 0)
		runs := map[string]bool{}
		for nn := range rapid.IntRange(0, 120).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pass")) * time.Millisecond)
			key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h"}).Draw(rt, "key")
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0, 1, 2:
				fp := uint64(rapid.IntRange(0, 9).Draw(rt, "fingerprint") / 9)
				resend := rapid.Bool().Draw(rt, "resend")
				attempt := fmt.Sprint(nn)
				got, want := st.Begin(key, fp, attempt, resend, now), na.begin(key, fp, attempt, resend, now)
				require.Equal(rt, want, got)
				if got.Action == Run {
					require.False(rt, runs[key], "key %q runs twice at once", key)
					runs[key] = true
				}
			case 3:
				re := Response{Status: 200, Body: make([]byte, rapid.IntRange(0, 20).Draw(rt, "size"))}
				st.Answered(key, re, now)
				na.end(key, answered, &re, now)
				runs[key] = false
			case 4:
				st.AnsweredWithoutResponse(key, now)
				na.end(key, answered, nil, now)
				runs[key] = false
			case 5:
				st.Unknown(key, now)
				na.end(key, unknown, nil, now)
				runs[key] = false
			case 6:
				st.NotRun(key, now)
				na.end(key, notRun, nil, now)
				runs[key] = false
			}
			require.Equal(rt, na.bytes(), st.Bytes())
			require.Equal(rt, len(na.keys), st.Len())
			require.LessOrEqual(rt, st.Len(), cf.Keys)
			require.LessOrEqual(rt, st.Bytes(), cf.Bytes)
		}
	})
}

// Guards against not counting the headers of stored responses towards the byte
// limit, and against a missing default retention of 10 minutes.
func TestStoreBounds(t *testing.T) {
	st := NewStore(Config{Keys: 10, Bytes: 20})
	now := time.Unix(0, 0)
	header := map[string][]string{"Name": {"0123456789"}}
	for _, key := range []string{"a", "b"} {
		require.Equal(t, Run, st.Begin(key, 0, "", false, now).Action)
		st.Answered(key, Response{Status: 200, Header: header}, now)
	}
	require.Equal(t, 14, st.Bytes())
	require.Equal(t, Duplicate, st.Begin("a", 0, "", true, now).Action)
	require.Equal(t, Replay, st.Begin("b", 0, "", true, now.Add(Retention-1)).Action)
	require.Equal(t, Uncertain, st.Begin("b", 0, "", true, now.Add(Retention)).Action)
	require.Zero(t, st.Len()+st.Bytes())
}

// Guards against nodes that apply the same claims and differ, an earlier claim
// that loses, and a claim applied twice or after a gap.
func TestClaimsMatchNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var cl, replayed Claims
		var log []Claim
		at := time.Unix(1000, 0)
		for nn := range rapid.IntRange(0, 60).Draw(rt, "claims") {
			at = at.Add(time.Duration(rapid.IntRange(-20, 200).Draw(rt, "pass")) * time.Second)
			log = append(log, Claim{
				Key:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key"),
				Attempt: fmt.Sprint(nn), Time: at,
			})
			require.NoError(rt, cl.Apply(uint64(nn), log[nn]))
			require.ErrorIs(rt, cl.Apply(uint64(nn)+2, log[nn]), ErrGap)
			again := rapid.IntRange(0, nn).Draw(rt, "again")
			for offset := again; offset <= nn; offset++ {
				require.NoError(rt, cl.Apply(uint64(offset), log[offset]))
			}
		}
		for offset, ca := range log {
			require.NoError(rt, replayed.Apply(uint64(offset), ca))
		}
		require.Equal(rt, cl, replayed)
		want := naiveFirst(log)
		require.Equal(rt, len(want), cl.Len())
		for _, key := range []string{"a", "b", "c"} {
			first, ok := cl.First(key)
			attempt, claimed := want[key]
			require.Equal(rt, claimed, ok, key)
			require.Equal(rt, attempt, first.Attempt, key)
		}
	})
}

// naiveFirst returns the attempt of the first unexpired claim of each key by
// scanning the whole log.
func naiveFirst(log []Claim) map[string]string {
	first, since := map[string]string{}, map[string]time.Time{}
	var latest time.Time
	for _, ca := range log {
		if ca.Time.After(latest) {
			latest = ca.Time
		}
		for key := range first {
			if latest.Sub(since[key]) >= Retention {
				delete(first, key)
			}
		}
		if _, ok := first[ca.Key]; !ok {
			first[ca.Key], since[ca.Key] = ca.Attempt, latest
		}
	}
	return first
}

// Guards against claims that can never be applied again after the log was
// trimmed.
func TestClaimsSkip(t *testing.T) {
	var cl Claims
	require.ErrorIs(t, cl.Apply(5, Claim{Key: "a"}), ErrGap)
	cl.Skip(5)
	cl.Skip(3)
	require.NoError(t, cl.Apply(5, Claim{Key: "a", Attempt: "x"}))
	require.Equal(t, uint64(6), cl.Next())
}
