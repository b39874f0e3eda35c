package fleet

import (
	"bytes"

	"github.com/BurntSushi/toml"
)

// Format encodes a configuration as TOML. Parse returns an equal configuration
// from the result.
func Format(config *Config) (text []byte) {
	var buffer bytes.Buffer
	encoder := toml.NewEncoder(&buffer)
	encoder.Indent = ""
	if err := encoder.Encode(config); err != nil {
		// Unreachable: TOML can encode all values of the types in Config.
		panic("fleet: configuration can't be encoded as TOML: " + err.Error())
	}
	return buffer.Bytes()
}
