package settings_test

import (
	"fmt"

	"basaltdrum/internal/settings"
)

func ExampleParse() {
	s, err := settings.Parse([]byte(`{
		"zone": "north",
		"localities": ["north", "east"],
		"tick-ms": 2.5,
		"lanes": [{"name": "get", "effect": "read_like", "target-ms": 200, "deadline-ms": 900}]
	}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(s.Zone, s.ZoneCount, s.Tick)
	fmt.Println(s.Classes[0].Name, s.Classes[0].Deadline)
	// Output:
	// north 2 2.5ms
	// get 900ms
}
