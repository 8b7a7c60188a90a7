package http1

// Limits on what the node reads of one message.
const (
	// MaxHeaderBytes is the maximum size of a request's head; net/http allows some more.
	MaxHeaderBytes = 16 << 10

	// MaxFieldLines is the maximum number of lines with fields in a head, and of those with trailers after a body. A
	// folded field has several lines. net/http has no such limit, and holds ten times the bytes of a short field.
	MaxFieldLines = 100

	// MaxBodyBytes is the maximum size of the body of a request or a response.
	MaxBodyBytes = 64 << 10
)
