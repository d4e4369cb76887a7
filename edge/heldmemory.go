package edge

import (
	"net/http"

	"parsleyhatch/memory"
)

// heldMemory is the memory that a request holds until its end. releaseMemory gives all of it back, once.
type heldMemory struct {
	// bodyBuffer holds the body of the request, nil until it is read.
	bodyBuffer *memory.Buffer
	// endShare gives back the request's part of the share of its workspace, nil if it has none.
	endShare func()
	// failedAnswer is the latest error answer of an upstream, nil if there is none. The caller receives it unless a later attempt succeeds.
	failedAnswer *bufferedAnswer
}

// bufferedAnswer is a complete answer of an upstream.
type bufferedAnswer struct {
	status int
	header http.Header
	body   *memory.Buffer
}
