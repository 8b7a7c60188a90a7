package http1

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// A response is read up to the first field beyond the limit, and a body is not limited. net/http would hold ten times
// the bytes of short fields, and bad servers could take a node over its memory limit.
func TestFieldLimitReader(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		interim = "HTTP/1.1 103 Early Hints\r\n"
	)
	most := repeatLine(MaxFieldLines)
	for _, c := range []struct{ name, accepted, rest string }{
		{"as many fields as are allowed, and a body", ok + most + "\r\n" + strings.Repeat("a\n", 1000), ""},
		{"a field too many", ok + most, "A:b\r\n\r\n"},
		{"a folded line too many", ok + most, " c\r\n\r\n"},
		{"lines that end by LF", "HTTP/1.0 200 OK\n" + strings.Repeat("A:b\n", MaxFieldLines), "A:b\n\n"},
		{"an empty body after lines that end by LF", "HTTP/1.0 200 OK\n\n" + most + most, ""},
		{"interim responses with fields", interim + most + "\r\n" + interim + most + "\r\n" + ok + most + "\r\n", ""},
		{"too many fields after interim responses", interim + most + "\r\n" + ok + most, "A:b\r\n\r\n"},
		{"too many fields in an interim response", interim + most, "A:b\r\n\r\n"},
		{"too many fields after a status below 200", "HTTP/1.1 099 No\r\n\r\n" + ok + most, "A:b\r\n\r\n"},
		{"nothing but short lines", strings.Repeat("\n", 1) + most, "A:b\r\n"},
	} {
		text := c.accepted + c.rest
		for name, reader := range map[string]io.Reader{
			"at once": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text)),
		} {
			got, err := io.ReadAll(&FieldLimitReader{Reader: reader})
			if !bytes.Equal(got, []byte(c.accepted)) || errors.Is(err, ErrTooManyFields) != (c.rest != "") {
				t.Errorf("%s, %s: read %d bytes and error %v, want %d of %d bytes",
					c.name, name, len(got), err, len(c.accepted), len(text))
			}
		}
	}
}
