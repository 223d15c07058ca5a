package forward

import (
	"bufio"
	"io"
	"sync"
)

// A bufioWriter combines a request's header and small body into one write.
type bufioWriter struct{ *bufio.Writer }

const writeBufferSize = 8 << 10

var writers = sync.Pool{New: func() any { return &bufioWriter{bufio.NewWriterSize(io.Discard, writeBufferSize)} }}
