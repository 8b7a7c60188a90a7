package endpointlist

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"testing"

	"basaltdrum/internal/testutil"
)

// unmarshalList parses a list with json.Unmarshal, as a reference for the parser.
func unmarshalList(text []byte) (List, error) {
	var fields struct {
		Rev     *int64      `json:"rev"`
		All     *bool       `json:"all"`
		Targets []wireEntry `json:"targets"`
	}
	if err := json.Unmarshal(text, &fields); err != nil {
		return List{}, err
	}
	if fields.Rev == nil || fields.All == nil {
		return List{}, errors.New("rev or all is missing")
	}
	list := List{Version: *fields.Rev, Complete: *fields.All}
	seen := map[string]bool{}
	for _, wire := range fields.Targets {
		entry, err := wire.toListEntry()
		if err != nil || seen[entry.ID] {
			return List{}, fmt.Errorf("uid %q: %w", entry.ID, err)
		}
		seen[entry.ID] = true
		list.Entries = append(list.Entries, entry)
	}
	return list, nil
}

// The parser reads a list as json.Unmarshal does, and rejects what json.Unmarshal rejects. This holds for lists in any
// form, truncated at any byte, and with any byte removed or replaced.
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
	compare := func(text []byte) error {
		want, wantErr := unmarshalList(text)
		got, err := Parse(text)
		if (err == nil) != (wantErr == nil) || !reflect.DeepEqual(got, want) {
			t.Errorf("%s\ngot  %v, %v\nwant %v, %v", text, got, err, want, wantErr)
		}
		return err
	}
	for _, text := range malformed {
		if compare([]byte(text)) == nil {
			t.Errorf("%s was accepted, want an error", text)
		}
	}
	for _, text := range valid {
		if err := compare([]byte(text)); err != nil {
			t.Errorf("%s was rejected: %v", text, err)
		}
		for i := range text {
			compare([]byte(text[:i]))
			compare([]byte(text[:i] + text[i+1:]))
			for _, other := range []byte(" \x00{}[],:\"\\0ne\xff") {
				changed := []byte(text)
				changed[i] = other
				compare(changed)
			}
		}
	}
}
