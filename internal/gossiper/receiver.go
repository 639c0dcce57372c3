package gossiper

import (
	"context"
	"errors"
	"time"

	"github.com/guavastall/guavastall/internal/detector"
)

// Receiver serves the calls of peers. It is registered under [Name].
type Receiver struct {
	gossiper *Gossiper
}

// Receiver returns the receiver for the calls of peers.
func (gs *Gossiper) Receiver() *Receiver { return &Receiver{gossiper: gs} }

// Ping answers a ping.
func (rc *Receiver) Ping(args PingMessage, reply *PingMessage) error {
	ms, err := decodePing(args)
	if err != nil {
		return err
	}
	var answer detector.Message
	rc.gossiper.update(func(now time.Time) { answer = rc.gossiper.detector.HandlePing(ms, now) })
	*reply = encodePing(answer)
	return nil
}

// PingVia pings the target on behalf of the calling node.
func (rc *Receiver) PingVia(args ViaRequest, reply *ViaAnswer) error {
	gs := rc.gossiper
	if !args.Target.IsValid() {
		return errMessage
	}
	select {
	case gs.probeSlots <- struct{}{}:
		defer func() { <-gs.probeSlots }()
	default:
		return errors.New("too many probes for other nodes")
	}
	var ac detector.Action
	gs.update(func(now time.Time) { ac = gs.detector.Probe(args.Target, now) })
	// The ping has its own timeout; the server waits for it when it closes.
	re, reached := gs.ping(context.Background(), ac)
	gs.update(re)
	*reply = ViaAnswer{Reached: reached}
	return nil
}

// Exchange answers an offer.
func (rc *Receiver) Exchange(args ExchangeMessage, reply *ExchangeMessage) error {
	of, err := decodeOffer(args)
	if err != nil {
		return err
	}
	var answer detector.Offer
	rc.gossiper.update(func(now time.Time) { answer = rc.gossiper.detector.HandleOffer(of, now) })
	*reply = encodeOffer(answer)
	return nil
}
