package plan

import (
	"testing"

	"basaltdrum/internal/testutil"
)

func TestMain(m *testing.M) { testutil.VerifyTestMain(m) }
