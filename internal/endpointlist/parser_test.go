package endpointlist

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"testing"

	"basaltdrum/internal/testutil"
)

// unmarshalList reads a list with json.Unmarshal, as the reference for the parser.
func unmarshalList(text []byte) (List, error) {
	var f struct {
		Rev     *int64      `json:"rev"`
		All     *bool       `json:"all"`
		Targets []wireEntry `json:"targets"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return List{}, err
	}
	if f.Rev == nil || f.All == nil {
		return List{}, errors.New("rev or all is missing")
	}
	l := List{Version: *f.Rev, Complete: *f.All}
	seen := map[string]bool{}
	for _, e := range f.Targets {
		t, err := e.toListEntry()
		if err != nil || seen[t.ID] {
			return List{}, fmt.Errorf("uid %q: %w", t.ID, err)
		}
		seen[t.ID] = true
		l.Entries = append(l.Entries, t)
	}
	return l, nil
}

// The parser reads a list as json.Unmarshal does, and rejects it where that fails: in any form, truncated at any
// byte, with any byte replaced.
func TestListParserAgreesWithUnmarshal(t *testing.T) {
	s1, s2 := testutil.StartedListEntry("s1", 1_800_000_000_000), testutil.ListEntry("s2", "[::1]:80", "terminating")
	removed := `{"uid":"s3","state":"terminated"}`
	valid := []string{
		`{"rev":3,"all":true,"targets":[]}`, `{"rev":3,"all":false,"targets":null}`, `{"all":false,"rev":-3}`,
		`{"targets":[` + s1 + `,` + s2 + `],"all":true,"rev":3}`,
		` { "REV" : 3 , "All":true, "tarGets" : [ ` + s1 + ` , ` + removed + `] } ` + "\n",
		`{"rev":3,"all":true,"more":{"a":[1,{"b":null}],"rev":4},"x":"}]","targets":[` + removed + `]}`,
		`{"rev":3,"rev":4,"all":false,"all":true}`, `{"\u0072ev":3,"all":true,"targets":[]}`,
		`{"rev":3,"all":true,"targets":[{"UID":"s1","State":"in_service","endpoint":"1.2.3.4:5","weight":{"a":[]}}]}`,
	}
	malformed := []string{
		"", "null", "[]", "3", `"rev"`, `{"rev":null,"all":true}`, `{"rev":3,"all":null}`, `{"rev":"3","all":true}`,
		`{"rev":3.5,"all":true}`, `{"rev":3,"all":1}`, `{"rev":3,"all":true,"targets":{}}`,
		`{"rev":3,"all":true,"targets":3}`, `{"rev":3,"all":true,"targets":[null]}`,
		`{"rev":3,"all":true,"targets":[[]]}`, `{"rev":3,"all":true,"targets":["s1"]}`,
		`{"rev":3,"all":true,"targets":[` + s1 + `,` + s1 + `]}`, `{"rev":3,"all":true,"targets":[` + s1 + `,]}`,
		`{"rev":3,"all":true,"targets":[` + s1 + ` ` + s2 + `]}`, `{"rev":3,"all":true,"targets":[` + s1 + `}}`,
		`{"rev":3,"all":true,}`, `{"rev":3,"all":true}{}`, `{"rev":3,"all":true}x`, `{"rev":3,"all":true},`,
		`{"rev" 3,"all":true}`,
		`{"rev":3 "all":true}`, `{"rev":99999999999999999999,"all":true}`, `{"rev":3,"all":true,"targets":[{"uid":3}]}`,
	}
	same := func(text []byte) error {
		want, wantErr := unmarshalList(text)
		got, err := Parse(text)
		if (err == nil) != (wantErr == nil) || !reflect.DeepEqual(got, want) {
			t.Errorf("%s\ngot  %v, %v\nwant %v, %v", text, got, err, want, wantErr)
		}
		return err
	}
	for _, text := range malformed {
		if same([]byte(text)) == nil {
			t.Errorf("%s is accepted", text)
		}
	}
	for _, text := range valid {
		if err := same([]byte(text)); err != nil {
			t.Errorf("%s: %v", text, err)
		}
		for i := range text {
			same([]byte(text[:i]))
			same([]byte(text[:i] + text[i+1:]))
			for _, other := range []byte(" \x00{}[],:\"\\0ne\xff") {
				changed := []byte(text)
				changed[i] = other
				same(changed)
			}
		}
	}
}
