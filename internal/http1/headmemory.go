package http1

const (
	// headCopies is the number of copies of a request's head that are held at the same time: net/http grows its buffers
	// while it reads, and the head of an attempt is encoded later.
	headCopies = 2

	// fieldBytes is what net/http holds for each field besides its bytes: an entry of a map with the name and the list
	// of values, and the values' headers.
	fieldBytes = 150
)

// HeadMemory returns how much memory is held for a request's head of some bytes with a number of header fields, in
// bytes.
func HeadMemory(headBytes, fields int) int { return headCopies*headBytes + fieldBytes*fields }
