// Package appender implements an HTTP client for the platform's log.
//
// Every request has a deadline, every response a size limit, and the number of
// retries is bounded. An append whose response is lost may have taken effect. It
// is resent unchanged, and readers drop the duplicate by the ID in the record.
package appender

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/guavastall/guavastall/internal/sleeper"
)

// Defaults of [Config].
const (
	defaultTimeout  = 3 * time.Second
	defaultAttempts = 4
)

const (
	// MaxRecordBytes is the size limit of a record in the log protocol.
	MaxRecordBytes = 1 << 20
	// maxResponseBytes is enough for several records of the maximum size in base64.
	maxResponseBytes = 8 << 20
	// maxConnections bounds the connections of one node to the log.
	maxConnections = 8
)

// Errors of the client. Test for them with [errors.Is].
var (
	// ErrRefused reports an append that did not take effect.
	ErrRefused = errors.New("log did not accept the append")
	// ErrUnknown reports an append that may have taken effect.
	ErrUnknown = errors.New("append has an unknown outcome")
	// ErrUnavailable reports that the log did not respond or responded with an
	// error status.
	ErrUnavailable = errors.New("log is unavailable")
	// ErrInvalid reports a response that violates the protocol.
	ErrInvalid = errors.New("log response is invalid")
	// ErrTooLarge reports a record over [MaxRecordBytes].
	ErrTooLarge = errors.New("record is over the size limit")
)

// TrimmedError reports a read below the first offset that the log still keeps.
type TrimmedError struct {
	// From is the requested offset.
	From uint64
	// First is the lowest offset that the log keeps.
	First uint64
	// Next is the offset of the next append.
	Next uint64
}

// Error returns the requested offset and the lowest one that the log keeps.
func (te *TrimmedError) Error() string {
	return fmt.Sprintf("log keeps records from offset %d; offset %d is trimmed", te.First, te.From)
}

// GapError reports a response whose records do not have consecutive offsets.
type GapError struct {
	// Want is the expected offset.
	Want uint64
	// Got is the offset in the response.
	Got uint64
}

// Error returns the expected offset and the one in the response.
func (ge *GapError) Error() string {
	return fmt.Sprintf("log returned offset %d, want %d", ge.Got, ge.Want)
}

// BehindError reports a log that ends below the requested offset. Offsets never
// restart, so the log has lost records or is not the one that was read before.
type BehindError struct {
	// From is the requested offset.
	From uint64
	// Next is the offset of the next append.
	Next uint64
}

// Error returns the end of the log and the requested offset.
func (be *BehindError) Error() string {
	return fmt.Sprintf("log ends at offset %d, below the requested offset %d", be.Next, be.From)
}

// Record is one record of a stream.
type Record struct {
	// Offset is the offset of the record in its stream.
	Offset uint64 `json:"offset"`
	// Time is when the log accepted the record.
	Time time.Time `json:"time"`
	// Data is the payload of the record.
	Data []byte `json:"data"`
}

// Batch is the result of a read.
type Batch struct {
	// Records have consecutive offsets, starting at the requested one.
	Records []Record `json:"records"`
	// First is the lowest offset that the log keeps.
	First uint64 `json:"first"`
	// Next is the offset of the next append.
	Next uint64 `json:"next"`
}

// Config holds the settings of a [Client]. Zero fields take the defaults.
type Config struct {
	// Timeout bounds each request, in addition to the wait of a long poll.
	Timeout time.Duration
	// Attempts is the maximum number of times [Client.Append] sends a record.
	Attempts int
	// Backoff determines the waits between attempts.
	Backoff Backoff
	// LocalIP is the local address of connections; if it is the zero value, the
	// system chooses one.
	LocalIP netip.Addr
}

// Client is a client of the platform's log. It is safe for concurrent use. Use
// [New].
type Client struct {
	base   *url.URL
	config Config
	http   *http.Client
}

// New returns a client of the log at the base URL, such as http://10.0.0.1:7100.
func New(base string, cf Config) (*Client, error) {
	parsed, err := url.Parse(base)
	if err != nil {
		return nil, fmt.Errorf("log URL: %w", err)
	}
	if parsed.Scheme != "http" || parsed.Host == "" {
		return nil, fmt.Errorf("log URL %q is not of the form http://host:port", base)
	}
	if cf.Timeout <= 0 {
		cf.Timeout = defaultTimeout
	}
	if cf.Attempts <= 0 {
		cf.Attempts = defaultAttempts
	}
	dialer := &net.Dialer{Timeout: cf.Timeout}
	if cf.LocalIP.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(cf.LocalIP, 0))
	}
	transport := &http.Transport{
		DialContext:     dialer.DialContext,
		MaxConnsPerHost: maxConnections,
		IdleConnTimeout: time.Minute,
		// With compression, the size limit would apply to the compressed body.
		DisableCompression: true,
	}
	return &Client{base: parsed, config: cf, http: &http.Client{Transport: transport}}, nil
}

// Close closes the idle connections.
func (cl *Client) Close() {
	cl.http.CloseIdleConnections()
}

// Append appends the record and returns its offset. On failure it resends the
// same bytes up to Config.Attempts times in all, until the context ends. The log
// may then hold the record several times, so it must carry an ID. The error is
// [ErrRefused] if no attempt took effect and [ErrUnknown] if one may have.
func (cl *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	unknown := false
	var err error
	for attempt := range cl.config.Attempts {
		if attempt > 0 && cl.config.Backoff.Wait(ctx, attempt-1) != nil {
			break
		}
		var offset uint64
		if offset, err = cl.AppendOnce(ctx, stream, data); err == nil {
			return offset, nil
		}
		unknown = unknown || errors.Is(err, ErrUnknown)
		if errors.Is(err, ErrTooLarge) || ctx.Err() != nil {
			break
		}
	}
	if unknown && !errors.Is(err, ErrUnknown) {
		return 0, fmt.Errorf("%w: an earlier attempt may have succeeded: %w", ErrUnknown, err)
	}
	return 0, err
}

// AppendOnce sends the record once. The errors are those of [Client.Append].
func (cl *Client) AppendOnce(ctx context.Context, stream string, data []byte) (uint64, error) {
	if len(data) > MaxRecordBytes {
		return 0, fmt.Errorf("%w: %w: %d bytes", ErrRefused, ErrTooLarge, len(data))
	}
	if err := ctx.Err(); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	ctx, cancel := context.WithTimeout(ctx, cl.config.Timeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(
		ctx, http.MethodPost, cl.url(stream, nil), bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	status, body, err := cl.do(rq)
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial":
		return 0, fmt.Errorf("%w: %w", ErrRefused, err)
	case err != nil:
		return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
	case status == http.StatusRequestEntityTooLarge:
		return 0, fmt.Errorf("%w: %w", ErrRefused, ErrTooLarge)
	case status == http.StatusInternalServerError, status == http.StatusBadGateway,
		status == http.StatusGatewayTimeout:
		return 0, fmt.Errorf("%w: status %d", ErrUnknown, status)
	case status != http.StatusOK:
		return 0, fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	var response struct {
		Offset *uint64 `json:"offset"`
	}
	if err := json.Unmarshal(body, &response); err != nil || response.Offset == nil {
		return 0, fmt.Errorf("%w: %w", ErrUnknown, ErrInvalid)
	}
	return *response.Offset, nil
}

// Read returns at most limit records, starting at the offset. If there are none,
// the log waits for one for the given time. The error is [ErrUnavailable], a
// [TrimmedError], a [GapError], a [BehindError] or [ErrInvalid].
func (cl *Client) Read(
	ctx context.Context, stream string, from uint64, limit int, wait time.Duration,
) (Batch, error) {
	query := url.Values{"from": {strconv.FormatUint(from, 10)}}
	if limit > 0 {
		query.Set("max", strconv.Itoa(limit))
	}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	ctx, cancel := context.WithTimeout(ctx, wait+cl.config.Timeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, cl.url(stream, query), nil)
	if err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	status, body, err := cl.do(rq)
	if err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	switch status {
	case http.StatusOK, http.StatusGone:
		return decodeBatch(body, from, status == http.StatusGone)
	default:
		return Batch{}, fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
}

// decodeBatch decodes the response to a read and checks that its records have
// consecutive offsets, starting at the requested one.
func decodeBatch(body []byte, from uint64, trimmed bool) (Batch, error) {
	var ba Batch
	if err := json.Unmarshal(body, &ba); err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	switch {
	case ba.First > ba.Next:
		return Batch{}, fmt.Errorf("%w: first %d is above next %d", ErrInvalid, ba.First, ba.Next)
	case trimmed && ba.First <= from:
		return Batch{}, fmt.Errorf("%w: offset %d is not trimmed", ErrInvalid, from)
	case trimmed:
		return Batch{}, &TrimmedError{From: from, First: ba.First, Next: ba.Next}
	case ba.Next < from:
		return Batch{}, &BehindError{From: from, Next: ba.Next}
	}
	for ii, rec := range ba.Records {
		if want := from + uint64(ii); rec.Offset != want {
			return Batch{}, &GapError{Want: want, Got: rec.Offset}
		}
	}
	if from+uint64(len(ba.Records)) > ba.Next {
		return Batch{}, fmt.Errorf("%w: records beyond next %d", ErrInvalid, ba.Next)
	}
	return ba, nil
}

// do sends the request and reads the whole response.
func (cl *Client) do(rq *http.Request) (int, []byte, error) {
	rs, err := cl.http.Do(rq)
	if err != nil {
		// All idle connections may have stopped delivering data without being
		// closed. Closing them makes the next request open a new one.
		cl.http.CloseIdleConnections()
		return 0, nil, err
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxResponseBytes+1))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > maxResponseBytes {
		return 0, nil, fmt.Errorf("%w: over %d bytes", ErrInvalid, maxResponseBytes)
	}
	return rs.StatusCode, body, nil
}

func (cl *Client) url(stream string, query url.Values) string {
	target := cl.base.JoinPath("streams", stream, "records")
	target.RawQuery = query.Encode()
	return target.String()
}

// Backoff computes exponentially growing waits with full jitter. The zero value
// is ready to use.
type Backoff struct {
	// Base bounds the first wait; zero means 50 ms.
	Base time.Duration
	// Max bounds every wait; zero means 2 s.
	Max time.Duration
}

// Limit returns the upper bound of the wait after the given number of earlier
// waits.
func (bo Backoff) Limit(attempt int) time.Duration {
	base, limit := bo.Base, bo.Max
	if base <= 0 {
		base = 50 * time.Millisecond
	}
	if limit <= 0 {
		limit = 2 * time.Second
	}
	for range min(attempt, 62) {
		if base >= limit {
			break
		}
		base *= 2
	}
	return min(base, limit)
}

// Wait waits for a random time up to the limit. If the context ends first, it
// returns the context's error.
func (bo Backoff) Wait(ctx context.Context, attempt int) error {
	if !sleeper.Sleep(ctx, rand.N(bo.Limit(attempt))+1) {
		return ctx.Err()
	}
	return nil
}

// Last returns up to count of the newest records of a stream, oldest first.
// It sends two requests.
func (cl *Client) Last(ctx context.Context, stream string, count int) ([]Record, error) {
	// Every log ends below this offset, so the error holds the end of the log.
	_, err := cl.Read(ctx, stream, math.MaxUint64, 1, 0)
	var behind *BehindError
	if !errors.As(err, &behind) {
		return nil, fmt.Errorf("find the end of stream %q: %w", stream, err)
	}
	if behind.Next == 0 {
		return nil, nil
	}
	from := behind.Next - min(behind.Next, uint64(max(1, count)))
	ba, err := cl.Read(ctx, stream, from, count, 0)
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		ba, err = cl.Read(ctx, stream, trimmed.First, count, 0)
	}
	return ba.Records, err
}
