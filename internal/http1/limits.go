package http1

// Limits on what the node reads of one message.
const (
	// MaxHeaderBytes is the maximum size of a request's head; net/http allows some more.
	MaxHeaderBytes = 16 << 10

	// MaxBodyBytes is the maximum size of the body of a request or a response.
	MaxBodyBytes = 64 << 10
)
