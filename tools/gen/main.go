// Command gen generates the Go code of a protobuf file into the file's folder, with the
// versions of the generators that this module pins:
//
//	GOBIN=$PWD/bin go install tool && go run . -plugins bin ../../internal/peer/rpc peer.proto
package main

import (
	"bytes"
	"context"
	"flag"
	"log"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	plugins := flag.String("plugins", "bin", "the folder with protoc-gen-go and protoc-gen-twirp")
	flag.Parse()
	if err := run(context.Background(), *plugins, flag.Arg(0), flag.Arg(1)); err != nil {
		log.Fatal(err)
	}
}

// run compiles the named file of the folder and runs each plugin on it.
func run(ctx context.Context, plugins, folder, name string) error {
	c := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{folder}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := c.Compile(ctx, name)
	if err != nil {
		return err
	}
	request, err := proto.Marshal(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{name}, Parameter: proto.String("paths=source_relative"),
		ProtoFile: []*descriptorpb.FileDescriptorProto{protoutil.ProtoFromFileDescriptor(files[0])},
	})
	if err != nil {
		return err
	}
	for _, plugin := range []string{"protoc-gen-go", "protoc-gen-twirp"} {
		if err := generate(ctx, filepath.Join(plugins, plugin), folder, request); err != nil {
			return err
		}
	}
	return nil
}

// generate runs a plugin on the request and writes the generated files to the folder.
func generate(ctx context.Context, plugin, folder string, request []byte) error {
	cmd := exec.CommandContext(ctx, plugin)
	cmd.Stdin, cmd.Stderr = bytes.NewReader(request), os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return err
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(out, &response); err != nil {
		return err
	}
	for _, f := range response.GetFile() {
		if err := os.WriteFile(filepath.Join(folder, f.GetName()), []byte(f.GetContent()), 0o600); err != nil {
			return err
		}
	}
	return nil
}
