package linker

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	frameHeaderBytes = 4
	// keptBufferBytes is the size above which a message buffer is freed after
	// use, so that one large message does not stay allocated on every link.
	keptBufferBytes = 1 << 16
)

var errMessage = errors.New("malformed message")

// framer reads and writes messages on a connection. Reading and writing may
// run at the same time, but each by one goroutine only.
type framer struct {
	conn      net.Conn
	src       io.Reader
	ioTimeout time.Duration
	maxBytes  int
	budget    *budget

	in  bytes.Buffer
	dec *gob.Decoder
	out bytes.Buffer
	enc *gob.Encoder

	mu        sync.Mutex
	idleUntil time.Time
}

func newFramer(conn net.Conn, src io.Reader, co Config, bu *budget) *framer {
	fr := &framer{
		conn: conn, src: src, ioTimeout: co.IOTimeout, maxBytes: co.MaxMessageBytes, budget: bu,
	}
	fr.dec = gob.NewDecoder(&fr.in)
	fr.enc = gob.NewEncoder(&fr.out)
	return fr
}

// waitUntil extends the time that read waits for the next message. It never
// shortens it, as several calls may be waiting.
func (fr *framer) waitUntil(deadline time.Time) error {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	if !deadline.After(fr.idleUntil) {
		return nil
	}
	fr.idleUntil = deadline
	return fr.conn.SetReadDeadline(deadline)
}

// resetWait sets the time that read waits for the next message.
func (fr *framer) resetWait(deadline time.Time) error {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.idleUntil = deadline
	return fr.conn.SetReadDeadline(deadline)
}

// restoreWait returns to the deadline set by waitUntil or resetWait.
func (fr *framer) restoreWait() error {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	return fr.conn.SetReadDeadline(fr.idleUntil)
}

// read reads the next message into the decoder's buffer and returns its size.
func (fr *framer) read() (int, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(fr.src, header[:]); err != nil {
		return 0, err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size == 0 || size > fr.maxBytes {
		return 0, fmt.Errorf("%w: length %d, limit %d", errMessage, size, fr.maxBytes)
	}
	if err := fr.conn.SetReadDeadline(time.Now().Add(fr.ioTimeout)); err != nil {
		return 0, err
	}
	if fr.in.Cap() > keptBufferBytes {
		fr.in = bytes.Buffer{}
	}
	fr.in.Reset()
	if err := fr.fill(size); err != nil {
		return 0, err
	}
	if err := fr.restoreWait(); err != nil {
		return 0, err
	}
	return size, checkGob(fr.in.Bytes())
}

// fill reads the message in chunks, each of which counts against the budget
// while the message is read; a length that a peer only claims costs nothing.
func (fr *framer) fill(size int) error {
	taken := 0
	defer func() { fr.budget.give(taken) }()
	for left := size; left > 0; {
		chunk := min(left, keptBufferBytes)
		if !fr.budget.take(chunk) {
			return fmt.Errorf("message of %d bytes exceeds the budget of inbound messages", size)
		}
		taken += chunk
		if _, err := io.CopyN(&fr.in, fr.src, int64(chunk)); err != nil {
			return err
		}
		left -= chunk
	}
	return nil
}

// checkGob checks that the lengths of the gob messages add up to the data.
// The decoder would otherwise allocate whatever length a peer claims.
func checkGob(data []byte) error {
	for len(data) > 0 {
		length, used := gobUint(data)
		if used == 0 || length == 0 || length > uint64(len(data)-used) {
			return fmt.Errorf("%w: gob length beyond the end", errMessage)
		}
		data = data[used+int(length):]
	}
	return nil
}

// gobUint reads an unsigned integer in gob's format and returns it with the
// number of bytes used, zero if it is malformed.
func gobUint(data []byte) (uint64, int) {
	if data[0] < 0x80 {
		return uint64(data[0]), 1
	}
	count := -int(int8(data[0]))
	if count > 8 || len(data) <= count {
		return 0, 0
	}
	var value uint64
	for _, bb := range data[1 : 1+count] {
		value = value<<8 | uint64(bb)
	}
	return value, 1 + count
}

// write sends the values as one message before the deadline or the timeout for
// writing, whichever is earlier.
func (fr *framer) write(deadline time.Time, values ...any) error {
	if fr.out.Cap() > keptBufferBytes {
		fr.out = bytes.Buffer{}
	}
	fr.out.Reset()
	fr.out.Write(make([]byte, frameHeaderBytes))
	for _, value := range values {
		if err := fr.enc.Encode(value); err != nil {
			return fmt.Errorf("encode message: %w", err)
		}
	}
	data := fr.out.Bytes()
	size := len(data) - frameHeaderBytes
	if size > fr.maxBytes {
		return fmt.Errorf("message has %d bytes; the limit is %d", size, fr.maxBytes)
	}
	binary.BigEndian.PutUint32(data, uint32(size))
	if latest := time.Now().Add(fr.ioTimeout); deadline.IsZero() || deadline.After(latest) {
		deadline = latest
	}
	if err := fr.conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	_, err := fr.conn.Write(data)
	return err
}

// budget bounds the bytes of messages being read. The nil budget is unlimited.
type budget struct {
	mu   sync.Mutex
	left int
}

func (bu *budget) take(size int) bool {
	if bu == nil {
		return true
	}
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if size > bu.left {
		return false
	}
	bu.left -= size
	return true
}

func (bu *budget) give(size int) {
	if bu == nil {
		return
	}
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.left += size
}
