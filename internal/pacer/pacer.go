// Package pacer shares the outgoing link of a VM among the responses that its node
// sends to other nodes.
//
// A [Link] answers the load pattern of large bodies that together exceed the
// link. Without it, every body is begun, all become late together, and small
// responses, requests and control messages wait in the kernel behind them. With
// it, a request with a large response is admitted only if the response can leave
// in time ([Link.Admit]), bodies leave in parts, the one that is due first before
// the others ([Link.Grant]), and small messages are counted but never wait
// ([Link.Count]). Responses that can only be late make way for the others, but not
// beyond their deadline.
//
// The package does no I/O and reads no clock.
package pacer

import (
	"slices"
	"time"
)

const (
	// usableFraction is the fraction of the link's rate that is used for content.
	// The rest is for packet headers and acknowledgements.
	usableFraction = 0.93
	// partTime is the time that the link takes for one part of a body. A small
	// message waits for about as long behind the parts already handed to the
	// kernel.
	partTime = 10 * time.Millisecond
	// maxAhead is how far parts may be granted ahead of the link, so that it does
	// not idle while the next sender wakes up.
	maxAhead = partTime
	// minPartBytes bounds the wake-ups per body on slow links.
	minPartBytes = 8 << 10
	// stalledTime is the time for which a part is being written after which its
	// receiver counts as stalled and no longer holds up the others.
	stalledTime = 500 * time.Millisecond
	// maxWriting bounds the parts being written at the same time. More than one
	// is needed because a receiver may be slower than the link.
	maxWriting = 4
)

// Link is the outgoing link of a VM. It is not safe for concurrent use.
type Link struct {
	// rate is in bytes per second; zero means that the link is no bottleneck.
	rate float64
	// free is when the link has sent all bytes granted so far.
	free time.Time
	// transfers are the bodies expected and being sent, in the order of admission.
	transfers []*Transfer
}

// New returns a link with the rate in bits per second. Zero stands for a link
// that is never a bottleneck.
func New(bitsPerSecond float64) *Link {
	return &Link{rate: usableFraction * max(bitsPerSecond, 0) / 8}
}

// Rate returns the bytes of content per second; zero if the link is no bottleneck.
func (li *Link) Rate() float64 { return li.rate }

// SendTime returns the time that the link takes to send the bytes.
func (li *Link) SendTime(bytes float64) time.Duration {
	if li.rate <= 0 {
		return 0
	}
	return time.Duration(bytes / li.rate * float64(time.Second))
}

// partBytes is the size of a part.
func (li *Link) partBytes() int {
	return max(int(li.rate*partTime.Seconds()), minPartBytes)
}

// Large reports whether a body of the given size is sent in parts.
func (li *Link) Large(bytes float64) bool {
	return li.rate > 0 && bytes > float64(li.partBytes())
}

// Count records that a small message is being sent, which never waits.
func (li *Link) Count(bytes int, now time.Time) {
	if li.rate <= 0 {
		return
	}
	if li.free.Before(now) {
		li.free = now
	}
	li.free = li.free.Add(li.SendTime(float64(bytes)))
}

// Offer describes a request whose response would leave over the link.
type Offer struct {
	// Bytes is the expected size of the response and Work the expected time until
	// it is ready.
	Bytes float64
	Work  time.Duration
	// Due is the time by which the response has its full value, and Latest the time
	// by which a late one must have been sent.
	Due, Latest time.Time
	// Patience is the backlog up to which a late response is admitted. Zero means
	// that it is refused, because another link may have room.
	Patience time.Duration
}

// Transfer is a large body that is expected or being sent.
type Transfer struct {
	due, latest time.Time
	// left is what has not been granted yet, as expected until ready is true.
	left  float64
	ready bool
	// granted is when the part being written was granted; zero if there is none.
	granted time.Time
}

// order returns the time by which the bodies are ordered: when the body is due, or
// its latest time if it has become late.
func (tr *Transfer) order(now time.Time) time.Time {
	if now.After(tr.due) {
		return tr.latest
	}
	return tr.due
}

// Backlog returns the time that the link needs for all bodies.
func (li *Link) Backlog(now time.Time) time.Duration {
	return li.backlog(now, func(*Transfer) bool { return true })
}

// backlogBefore returns the time that the link needs for the bodies ahead of one
// with the given order.
func (li *Link) backlogBefore(order, now time.Time) time.Duration {
	return li.backlog(now, func(tr *Transfer) bool { return !tr.order(now).After(order) })
}

func (li *Link) backlog(now time.Time, counts func(*Transfer) bool) time.Duration {
	bytes := 0.0
	for _, tr := range li.transfers {
		if counts(tr) {
			bytes += tr.left
		}
	}
	return max(li.free.Sub(now), 0) + li.SendTime(bytes)
}

// Admit decides whether the response of a request can leave in time, or late if
// the offer allows it. If so, it returns a transfer, which the caller must end
// with [Link.End]. Otherwise it returns the time after which there is expected to
// be room.
func (li *Link) Admit(of Offer, now time.Time) (tr *Transfer, retryAfter time.Duration) {
	ahead := li.backlogBefore(of.Due, now)
	over := now.Add(max(of.Work, ahead) + li.SendTime(of.Bytes)).Sub(of.Due)
	if over <= 0 || ahead == 0 && of.Patience == 0 {
		return li.add(&Transfer{due: of.Due, latest: of.Latest, left: of.Bytes}), 0
	}
	if of.Patience == 0 {
		return nil, min(over, ahead)
	}
	ahead = li.Backlog(now)
	if over = ahead + li.SendTime(of.Bytes) - of.Patience; over <= 0 || ahead == 0 {
		return li.add(&Transfer{due: of.Latest, latest: of.Latest, left: of.Bytes}), 0
	}
	return nil, min(over, ahead)
}

// Start returns a transfer for a body that was not expected to be large. The
// caller must end it with [Link.End].
func (li *Link) Start(due, latest time.Time) *Transfer {
	return li.add(&Transfer{due: due, latest: latest})
}

func (li *Link) add(tr *Transfer) *Transfer {
	li.transfers = append(li.transfers, tr)
	return tr
}

// Ready records that the body can be sent, with its actual size.
func (li *Link) Ready(tr *Transfer, bytes int) { tr.left, tr.ready = float64(bytes), true }

// Grant returns the next part to be written: of the body that is due first among
// those that are not already writing one. If there is none yet, it returns nil and
// when to ask again; zero stands for the next call of [Link.Written], [Link.Ready]
// or [Link.End].
func (li *Link) Grant(now time.Time) (tr *Transfer, bytes int, wait time.Duration) {
	tr, writing := li.next(now)
	switch ahead := li.free.Sub(now); {
	case tr == nil:
		return nil, 0, 0
	case ahead > maxAhead:
		return nil, 0, ahead - maxAhead
	case writing >= maxWriting:
		return nil, 0, stalledTime
	}
	bytes = min(int(tr.left), li.partBytes())
	tr.left -= float64(bytes)
	tr.granted = now
	li.Count(bytes, now)
	return tr, bytes, 0
}

// next returns the body whose part is to be written next, or nil, and the number
// of parts being written.
func (li *Link) next(now time.Time) (first *Transfer, writing int) {
	for _, tr := range li.transfers {
		switch {
		case !tr.granted.IsZero():
			if now.Sub(tr.granted) < stalledTime {
				writing++
			}
		case !tr.ready || tr.left <= 0:
		case first == nil || tr.order(now).Before(first.order(now)):
			first = tr
		}
	}
	return first, writing
}

// Written records that the granted part of a body has been handed to the kernel.
func (li *Link) Written(tr *Transfer) { tr.granted = time.Time{} }

// End removes a body that has been sent, will not come or is no longer wanted.
func (li *Link) End(tr *Transfer) {
	if nn := slices.Index(li.transfers, tr); nn >= 0 {
		li.transfers = slices.Delete(li.transfers, nn, nn+1)
	}
}
