package placer

import "time"

// Outlook is what a node expects of one more request at a target.
type Outlook struct {
	// Free reports whether the target has a free slot and nothing else that a
	// request would wait for.
	Free bool
	// Slowdown is the expected ratio of the target's response time to that of other
	// targets.
	Slowdown float64
	// Transfer is the time that the response takes over the link of the target's VM.
	Transfer time.Duration
}

// Outlook returns what is expected of one more request at the target of the choice.
func (pl *Placer) Outlook(ch Choice, re Request, now time.Time) Outlook {
	ou := Outlook{Free: ch.Wait <= 0, Slowdown: 1}
	lo := pl.loads[ch.Target.ID]
	if lo == nil {
		return ou
	}
	_, used := lo.expectedWait(ch.Target.Slots, re.Rank, now)
	ou.Free = ou.Free && used < 1
	work, _ := pl.expectedWork(lo, re.Route, now)
	ou.Slowdown = float64(work) / float64(pl.Work(re.Route))
	if ch.Target.Node != re.Self {
		ou.Transfer = lo.transferTime(re.Bytes, work, now)
	}
	return ou
}
