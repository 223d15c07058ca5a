package forward

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// An Execution says whether a target ran a request, as far as an attempt shows.
type Execution int

const (
	// MayHaveRun means that the request was sent and that no usable response came.
	MayHaveRun Execution = iota
	// Ran means that the target responded and does not say that it did not run the request.
	Ran
	// NotRun means that the target says so, or that no byte of the request was sent.
	NotRun
)

// ExecutionOf returns what the result of Send shows. A status that asks the caller to come back later shows nothing: a target
// may fail with it after it has run the request.
func (n Headers) ExecutionOf(res *Response, err error) Execution {
	switch {
	case err != nil && errors.Is(err, ErrSent):
		return MayHaveRun
	case err != nil, n.NotRun != "" && res.Header.Get(n.NotRun) != "", n.IsReplaced(res):
		return NotRun
	}
	return Ran
}

// IsReplaced reports whether the response is of another target than the one that the request was for, which did not run it.
func (n Headers) IsReplaced(res *Response) bool {
	return n.Instance != "" && res.Status == http.StatusMisdirectedRequest
}
