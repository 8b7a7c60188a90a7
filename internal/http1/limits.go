package http1

// Limits on what the node reads of one message.
const (
	// MaxHeaderBytes is the longest head of a request, in bytes; net/http allows some more.
	MaxHeaderBytes = 16 << 10

	// MaxBodyBytes is the longest body of a request or a response, in bytes.
	MaxBodyBytes = 64 << 10
)
