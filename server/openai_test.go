package server_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"bergamotcroft.example/bergamot/emulator/engine"
)

// Guards against answers that the official OpenAI client cannot read.
func TestOfficialClient(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fastEngine("e1"))
	v := f.start(nil)
	client := openai.NewClient(option.WithAPIKey(apiKey), option.WithBaseURL(v.url+"/v1"), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model: "m", MaxCompletionTokens: openai.Int(12), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
	text := engine.Text(engine.Seed("m", "user\nhello\n"), 12)

	whole, err := client.Chat.Completions.New(t.Context(), params)
	is.NoErr(err)
	is.Equal(whole.Choices[0].Message.Content, text)
	is.Equal(whole.Choices[0].FinishReason, "stop")
	is.Equal(whole.Usage.CompletionTokens, int64(12))

	params.StreamOptions.IncludeUsage = openai.Bool(true)
	chunks := client.Chat.Completions.NewStreaming(t.Context(), params)
	acc := openai.ChatCompletionAccumulator{}
	for chunks.Next() {
		is.True(acc.AddChunk(chunks.Current()))
	}
	is.NoErr(chunks.Err())
	is.Equal(acc.Choices[0].Message.Content, text)
	is.Equal(acc.Usage.CompletionTokens, int64(12))

	legacy, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
		Model: "m", MaxTokens: openai.Int(3), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("p")},
	})
	is.NoErr(err)
	is.Equal(legacy.Choices[0].Text, expectedText("p", 3))

	models, err := client.Models.List(t.Context())
	is.NoErr(err)
	is.Equal(models.Data[0].ID, "m")

	params.Model = "unknown"
	_, err = client.Chat.Completions.New(t.Context(), params)
	var refused *openai.Error
	is.True(errors.As(err, &refused))
	is.Equal(refused.StatusCode, 404)
	is.True(refused.Message != "")
}
