package upstream

import (
	"fmt"
	"testing"
)

// The states of an exchange are named in errors, and a value without a name shows its number.
func TestExchangeStatesHaveNames(t *testing.T) {
	for _, c := range []struct {
		value fmt.Stringer
		want  string
	}{
		{stageIdle, "not begun"},
		{stageWriting, "being written"},
		{stageWritten, "written"},
		{exchangeStage(9), "exchangeStage(9)"},
		{mayWrite, "may write"},
		{useAnotherConn, "use another connection"},
		{attemptObsolete, "attempt obsolete"},
		{writePermission(9), "writePermission(9)"},
		{framedByLength, "length or chunks"},
		{framedByClose, "end of connection"},
		{framingTooLong, "length beyond the limit"},
		{bodyFraming(9), "bodyFraming(9)"},
	} {
		t.Run(c.want, func(t *testing.T) {
			if got := c.value.String(); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
