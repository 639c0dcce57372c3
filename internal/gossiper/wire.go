package gossiper

import (
	"errors"
	"fmt"

	"github.com/guavastall/guavastall/internal/detector"
	"github.com/guavastall/guavastall/pkg/checker"
)

const (
	maxNotes   = 64
	maxBuckets = 1024
)

var errMessage = errors.New("malformed gossip message")

// PingMessage is the wire form of a ping or its answer.
type PingMessage struct {
	From        checker.NodeID
	Incarnation uint64
	Digest      uint64
	Members     []byte
	Notes       []detector.Note
	Unknown     bool
}

// ExchangeMessage is the wire form of an offer or its answer. The first member
// is the sender.
type ExchangeMessage struct {
	Digest, NoteDigest uint64
	Buckets            []uint32
	Members            []byte
	Notes              []detector.Note
	Joining, More      bool
	Round              int
}

// ViaRequest asks a node to ping the target.
type ViaRequest struct {
	Target checker.NodeID
}

// ViaAnswer reports whether the target answered the ping.
type ViaAnswer struct {
	Reached bool
}

func encodePing(ms detector.Message) PingMessage {
	wi := PingMessage{
		From: ms.From, Incarnation: uint64(ms.Incarnation), Digest: ms.Digest,
		Notes: ms.Notes, Unknown: ms.Unknown,
	}
	if len(ms.Members) > 0 {
		wi.Members = detector.EncodeMembers(ms.Members)
	}
	return wi
}

func decodePing(wi PingMessage) (detector.Message, error) {
	ms := detector.Message{
		From: wi.From, Incarnation: detector.Incarnation(wi.Incarnation), Digest: wi.Digest,
		Notes: wi.Notes, Unknown: wi.Unknown,
	}
	if !wi.From.IsValid() || len(wi.Notes) > maxNotes {
		return ms, fmt.Errorf("%w: sender %v, %d notes", errMessage, wi.From, len(wi.Notes))
	}
	var err error
	ms.Members, err = detector.DecodeMembers(wi.Members)
	return ms, err
}

func encodeOffer(of detector.Offer) ExchangeMessage {
	members := append([]detector.Member{of.From}, of.Members...)
	return ExchangeMessage{
		Digest: of.Digest, NoteDigest: of.NoteDigest, Buckets: of.Buckets,
		Members: detector.EncodeMembers(members), Notes: of.Notes,
		Joining: of.Joining, More: of.More, Round: of.Round,
	}
}

func decodeOffer(wi ExchangeMessage) (detector.Offer, error) {
	of := detector.Offer{
		Digest: wi.Digest, NoteDigest: wi.NoteDigest, Buckets: wi.Buckets,
		Notes: wi.Notes, Joining: wi.Joining, More: wi.More, Round: wi.Round,
	}
	if len(wi.Notes) > maxNotes || len(wi.Buckets) > maxBuckets {
		return of, fmt.Errorf("%w: %d notes, %d buckets", errMessage, len(wi.Notes),
			len(wi.Buckets))
	}
	members, err := detector.DecodeMembers(wi.Members)
	if err != nil {
		return of, err
	}
	if len(members) == 0 {
		return of, fmt.Errorf("%w: no sender", errMessage)
	}
	of.From, of.Members = members[0], members[1:]
	return of, nil
}
