package carrier

import (
	"bytes"
	"errors"
	"io"

	"github.com/guavastall/guavastall/internal/reserver"
)

const (
	// bodyMemoryFraction is the fraction of the process's memory that the bodies of
	// requests and responses may take together.
	bodyMemoryFraction = 0.25
	// defaultBodyMemory is the limit if the memory of the process is unknown.
	defaultBodyMemory = 128 << 20
	// bodyChunkBytes is the memory taken at a time for a body of unknown length.
	bodyChunkBytes = 32 << 10
	// maxExactBytes is the length up to which a body's memory is taken at once. The
	// bytes of a longer one may never come.
	maxExactBytes = 1 << 20
	// minPartBytes and maxPartBytes bound the parts in which a body of unknown length
	// is read.
	minPartBytes = 512
	maxPartBytes = 1 << 20
)

// errBodyMemory is returned if a body does not fit into the memory that is left.
var errBodyMemory = errors.New("the node has no memory left for the body")

// newBodyMemory returns the memory for all bodies that the node holds.
func newBodyMemory(processMemory int64) *reserver.Memory {
	if processMemory <= 0 {
		return reserver.New(defaultBodyMemory)
	}
	return reserver.New(int64(bodyMemoryFraction * float64(processMemory)))
}

// lease is the memory that the bodies of one request hold. It is not safe for
// concurrent use; each attempt that runs beside another has a lease of its own.
type lease struct {
	memory *reserver.Memory
	held   int64
}

// take takes memory for a body. A nil lease is not bounded.
func (le *lease) take(bytes int64) error {
	if le == nil {
		return nil
	}
	if !le.memory.Take(bytes) {
		return errBodyMemory
	}
	le.held += bytes
	return nil
}

// release returns all memory of the lease.
func (le *lease) release() {
	le.memory.Release(le.held)
	le.held = 0
}

// join moves the memory of another lease, which is no longer used, into this one.
func (le *lease) join(other *lease) {
	le.held += other.held
	other.held = 0
}

// boundedReader reads a body of unknown length into leased memory.
type boundedReader struct {
	io.Reader
	lease *lease
	// left is what may still come, and taken the unused part of the memory taken.
	left, taken int64
	tooLong     error
}

// Read implements [io.Reader].
func (br *boundedReader) Read(data []byte) (int, error) {
	nn, err := br.Reader.Read(data)
	if br.left -= int64(nn); br.left < 0 {
		return 0, br.tooLong
	}
	for br.taken -= int64(nn); br.taken < 0; br.taken += bodyChunkBytes {
		if err := br.lease.take(bodyChunkBytes); err != nil {
			return 0, err
		}
	}
	return nn, err
}

// readBounded reads a body of unknown length. The error is tooLong if it exceeds
// the limit.
func (le *lease) readBounded(rd io.Reader, limit int64, tooLong error) ([]byte, error) {
	br := &boundedReader{Reader: rd, lease: le, left: limit, tooLong: tooLong}
	var parts [][]byte
	for size := minPartBytes; ; size = min(2*size, maxPartBytes) {
		part, err := fill(br, make([]byte, size))
		parts = append(parts, part)
		switch {
		case errors.Is(err, io.EOF) && len(parts) == 1:
			return part, nil
		case errors.Is(err, io.EOF):
			return bytes.Join(parts, nil), nil
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until the part is full or the reader fails or ends. Unlike
// io.ReadFull, it returns the reader's own error, which tells a body that ended from
// one that broke off.
func fill(rd io.Reader, part []byte) ([]byte, error) {
	nn := 0
	for nn < len(part) {
		mm, err := rd.Read(part[nn:])
		nn += mm
		if err != nil {
			return part[:nn], err
		}
	}
	return part, nil
}

// readExact reads a body of known length, at which rd ends.
func (le *lease) readExact(rd io.Reader, length int64) ([]byte, error) {
	if length > maxExactBytes {
		return le.readBounded(rd, length, io.ErrUnexpectedEOF)
	}
	if err := le.take(length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	_, err := io.ReadFull(rd, body)
	return body, err
}
