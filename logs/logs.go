package logs

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// A Log struct is a logrus logger whose lines go through a sink: warnings, errors and events that are
// listed as kept before ordinary ones.
type Log struct {
	*logrus.Logger
	sink *Sink
}

// New returns a log that writes lines of key=value pairs of the level, and above, to out.
func New(out io.Writer, level string) (l *Log, err error) {
	defer func() { err = errors.Wrap(err, "new log") }()
	lv, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	f := &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano}
	h := &hook{formatter: f}
	l = &Log{Logger: logrus.New()}
	l.SetLevel(lv)
	l.SetOutput(io.Discard)
	l.SetFormatter(discardFormatter{}) // the hook formats
	h.sink = NewSink(out, func(lines uint64) []byte {
		e := l.WithFields(logrus.Fields{"event": "log_lines_dropped", "lines": lines})
		e.Time, e.Level = time.Now(), logrus.WarnLevel
		b, _ := f.Format(e)
		return b
	})
	l.AddHook(h)
	l.sink = h.sink
	return l, nil
}

// Dropped returns how many lines were left out since the reader did not take them.
func (l *Log) Dropped() uint64 { return l.sink.Dropped() }

// Written returns how many bytes were written.
func (l *Log) Written() uint64 { return l.sink.Written() }

// Close writes what waits, if the reader takes it soon.
func (l *Log) Close() { l.sink.Close() }

// Done is closed when the log has ended.
func (l *Log) Done() <-chan struct{} { return l.sink.Done() }

// discardFormatter formats nothing.
type discardFormatter struct{}

// Format implements logrus.Formatter.
func (discardFormatter) Format(*logrus.Entry) ([]byte, error) { return nil, nil }

// A hook formats each entry and hands it to the sink.
type hook struct {
	formatter logrus.Formatter
	sink      *Sink
}

// Levels implements logrus.Hook.
func (h *hook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h *hook) Fire(e *logrus.Entry) error {
	// The entry's own buffer is used again; the line stays in the sink's.
	entry := *e
	entry.Buffer = nil
	b, err := h.formatter.Format(&entry)
	if err != nil {
		return errors.Wrap(err, "format log line")
	}
	h.sink.Enqueue(classOf(e.Level), b)
	return nil
}

// classOf keeps warnings and errors longest.
func classOf(l logrus.Level) Class {
	if l <= logrus.WarnLevel {
		return Important
	}
	return Ordinary
}
