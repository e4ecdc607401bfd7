#include "fakes/Platform.h"

#include "backends/PublishedDirectory.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <boost/url.hpp>
#include <charconv>
#include <deque>
#include <future>
#include <set>
#include <thread>

namespace wasabicroft {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

const std::string controlHelp = R"(PUT /keys/KEY                  body: the value
DELETE /keys/KEY
POST /publish                  body: JSON object of keys and values
POST /publish-directory        body: path of a directory that wasabictl compile wrote
PUT /instances                 body: JSON instance list
DELETE /instances/NAME
POST /leaving/NAME             body: true or false
POST /down                     body: true or false
POST /stale                    body: true or false
POST /delay-ms                 body: milliseconds
POST /rollback                 body: number of changes
GET /counters                  JSON
)";

namespace {

    constexpr size_t historyLimit = 256; // states kept for rollBack()
    constexpr uint64_t maxRequestBytes = 4 * 1024 * 1024;
    constexpr Milliseconds maxWait { 60000 };

    const std::string keysPrefix = "/v1/keys/";
    const std::string instancesTarget = "/v1/instances";
    const std::string instancesKey = "instances"; // key of the instance list in State; no published key has this name

    struct Value {
        std::shared_ptr<const std::string> bytes; // null if the key was removed
        uint64_t index = 0;
    };

    using State = std::map<std::string, Value>;
    using Request = http::request<http::string_body>;
    using Response = http::response<http::string_body>;

    std::optional<uint64_t> parseNumber(std::string_view text)
    {
        uint64_t value = 0;
        const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    Response responseTo(const Request& request, http::status status, const std::string& body = {})
    {
        Response response(status, request.version());
        response.keep_alive(request.keep_alive());
        if (status != http::status::not_modified)
            response.body() = body;
        response.prepare_payload();
        return response;
    }

    // One HTTP connection. Handles one request at a time.
    class Session : public std::enable_shared_from_this<Session> {
    public:
        using Handler = std::function<void(const std::shared_ptr<Session>&)>;

        Session(tcp::socket socket, Handler handle)
            : timer(socket.get_executor())
            , stream(std::move(socket))
            , handle(std::move(handle))
        {
        }

        void read()
        {
            this->parser.emplace();
            this->parser->body_limit(maxRequestBytes);
            const std::shared_ptr<Session> self = this->shared_from_this();
            http::async_read(this->stream, this->buffer, *this->parser, [self](beast::error_code error, size_t) {
                if (error)
                    return;
                self->request = self->parser->release();
                self->handle(self);
            });
        }

        void respond(Response&& message, Milliseconds delay)
        {
            this->response = std::move(message);
            const std::shared_ptr<Session> self = this->shared_from_this();
            this->timer.expires_after(delay);
            this->timer.async_wait([self](beast::error_code error) {
                if (!error)
                    self->write();
            });
        }

        void close()
        {
            this->timer.cancel();
            this->stream.close();
        }

        asio::steady_timer timer;
        Request request;

    private:
        void write()
        {
            const std::shared_ptr<Session> self = this->shared_from_this();
            http::async_write(this->stream, this->response, [self](beast::error_code error, size_t) {
                if (error || !self->response.keep_alive())
                    self->close();
                else
                    self->read();
            });
        }

        beast::tcp_stream stream;
        Handler handle;
        beast::flat_buffer buffer;
        std::optional<http::request_parser<http::string_body>> parser;
        Response response;
    };

    // A request that waits until its key changes.
    struct Watch {
        std::shared_ptr<Session> session;
        std::string key;
        uint64_t knownIndex = 0;
    };

} // namespace

// Runs the server thread. Public methods that access the state must run on that thread, see runOnServerThread().
class FakePlatform::Server {
public:
    explicit Server(const FakePlatformOptions& options)
        : readerAcceptor(this->context, endpointOf(options.endpoint))
        , controlAcceptor(this->context, endpointOf(options.control))
        , readerEndpoint(this->readerAcceptor.local_endpoint())
        , controlPortEndpoint(this->controlAcceptor.local_endpoint())
    {
        this->state[instancesKey] = { std::make_shared<const std::string>(encodeMembers({})), ++this->lastIndex };
        this->accept(
            this->readerAcceptor, [this](const std::shared_ptr<Session>& session) { this->serveReader(session); });
        this->accept(
            this->controlAcceptor, [this](const std::shared_ptr<Session>& session) { this->serveControl(session); });
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~Server()
    {
        this->context.stop();
        this->thread.join();
    }

    // Runs a function on the server thread and returns its result.
    template <typename Work> auto runOnServerThread(Work work)
    {
        using Value = decltype(work());
        const std::shared_ptr<std::packaged_task<Value()>> task
            = std::make_shared<std::packaged_task<Value()>>(std::move(work));
        std::future<Value> result = task->get_future();
        asio::post(this->context, [task] { (*task)(); });
        return result.get();
    }

    Endpoint endpoint() const { return endpointOf(this->readerEndpoint); }
    Endpoint controlEndpoint() const { return endpointOf(this->controlPortEndpoint); }

    void change(const std::map<std::string, std::optional<std::string>>& values)
    {
        this->history.push_back(this->state);
        if (this->history.size() > historyLimit)
            this->history.pop_front();
        ++this->lastIndex;
        for (const auto& [key, bytes] : values)
            this->assign(key, bytes ? std::make_shared<const std::string>(*bytes) : nullptr);
        this->answerWatches();
    }

    void publish(const std::map<std::string, std::string>& keys)
    {
        std::map<std::string, std::optional<std::string>> values;
        for (const auto& [key, bytes] : keys) {
            const auto current = this->state.find(key);
            if (current == this->state.end() || !current->second.bytes || *current->second.bytes != bytes)
                values[key] = bytes;
        }
        if (!values.empty())
            this->change(values);
    }

    Result<bool> publishDirectory(const std::filesystem::path& directory)
    {
        const Result<PublishedConfig> published = readPublishedDirectory(directory);
        if (!published)
            return published.error();
        this->publish(platformKeys(published.value()));
        return true;
    }

    std::vector<Member> members() const { return decodeMembers(*this->state.at(instancesKey).bytes).value(); }

    void setMembers(const std::vector<Member>& members) { this->change({ { instancesKey, encodeMembers(members) } }); }

    void removeMember(const std::string& name)
    {
        std::vector<Member> members = this->members();
        std::erase_if(members, [&](const Member& member) { return member.name == name; });
        this->setMembers(members);
    }

    void setMember(const Member& added)
    {
        std::vector<Member> members = this->members();
        std::erase_if(members, [&](const Member& member) { return member.name == added.name; });
        members.push_back(added);
        this->setMembers(members);
    }

    bool markLeaving(const std::string& name, bool leaving)
    {
        std::vector<Member> members = this->members();
        const auto found
            = std::find_if(members.begin(), members.end(), [&](const Member& member) { return member.name == name; });
        if (found == members.end())
            return false;
        found->leaving = leaving;
        this->setMembers(members);
        return true;
    }

    void setDown(bool down)
    {
        this->isDown = down;
        if (!down)
            return;
        this->watches.clear();
        for (const std::weak_ptr<Session>& session : this->sessions) {
            if (const std::shared_ptr<Session> open = session.lock())
                open->close();
        }
        this->sessions.clear();
    }

    void setStale(bool stale)
    {
        if (stale && !this->staleState)
            this->staleState = this->state;
        if (!stale)
            this->staleState.reset();
        this->answerWatches();
    }

    bool rollBack(size_t changes)
    {
        if (changes == 0 || changes > this->history.size())
            return false;
        const State older = this->history[this->history.size() - changes];
        this->history.push_back(this->state);
        ++this->lastIndex;
        for (const auto& [key, value] : State(this->state)) {
            const auto found = older.find(key);
            const std::shared_ptr<const std::string> bytes = found == older.end() ? nullptr : found->second.bytes;
            if (bytes != value.bytes)
                this->assign(key, bytes);
        }
        this->answerWatches();
        return true;
    }

    Milliseconds delay { 0 };
    FakePlatformCounters counters;

private:
    static tcp::endpoint endpointOf(const Endpoint& endpoint)
    {
        return { asio::ip::make_address(endpoint.address), endpoint.port };
    }

    static Endpoint endpointOf(const tcp::endpoint& endpoint)
    {
        return { endpoint.address().to_string(), endpoint.port() };
    }

    void accept(tcp::acceptor& acceptor, const Session::Handler& handle)
    {
        acceptor.async_accept([this, &acceptor, handle](beast::error_code error, tcp::socket socket) {
            if (!error && (!this->isDown || &acceptor == &this->controlAcceptor)) {
                const std::shared_ptr<Session> session = std::make_shared<Session>(std::move(socket), handle);
                if (&acceptor == &this->readerAcceptor) {
                    ++this->counters.connections;
                    std::erase_if(this->sessions, [](const std::weak_ptr<Session>& old) { return old.expired(); });
                    this->sessions.push_back(session);
                }
                session->read();
            }
            this->accept(acceptor, handle);
        });
    }

    void assign(const std::string& key, std::shared_ptr<const std::string> bytes)
    {
        this->state[key] = { std::move(bytes), this->lastIndex };
    }

    const State& visibleState() const { return this->staleState ? *this->staleState : this->state; }

    Value visibleValue(const std::string& key) const
    {
        const auto found = this->visibleState().find(key);
        return found == this->visibleState().end() ? Value() : found->second;
    }

    //-------------------------------------------------------------------------
    // Reader port
    //-------------------------------------------------------------------------

    void serveReader(const std::shared_ptr<Session>& session)
    {
        const Request& request = session->request;
        if (request.method() != http::verb::get) {
            ++this->counters.refusedWrites;
            session->respond(responseTo(request, http::status::method_not_allowed), this->delay);
            return;
        }
        const boost::system::result<boost::urls::url_view> url
            = boost::urls::parse_origin_form(std::string_view(request.target().data(), request.target().size()));
        const std::string path = url ? std::string(url->path()) : std::string();
        std::string key;
        if (path == instancesTarget)
            key = instancesKey;
        else if (path.starts_with(keysPrefix) && path.substr(keysPrefix.size()) != instancesKey)
            key = path.substr(keysPrefix.size());
        this->countRead(key);
        const std::optional<uint64_t> knownIndex = url ? parameter(*url, "index") : std::nullopt;
        if (key.empty() || !knownIndex || this->visibleValue(key).index != *knownIndex) {
            this->answer(session, key);
            return;
        }
        const Milliseconds wait = std::min(maxWait, Milliseconds(parameter(*url, "wait-ms").value_or(0)));
        if (wait.count() == 0) {
            session->respond(responseTo(request, http::status::not_modified), this->delay);
            return;
        }
        ++this->counters.watches;
        this->watches.push_back({ session, key, *knownIndex });
        session->timer.expires_after(wait);
        session->timer.async_wait([this, session](beast::error_code error) {
            const size_t removed
                = std::erase_if(this->watches, [&](const Watch& watch) { return watch.session == session; });
            if (!error && removed > 0)
                session->respond(responseTo(session->request, http::status::not_modified), this->delay);
        });
    }

    static std::optional<uint64_t> parameter(const boost::urls::url_view& url, std::string_view name)
    {
        const boost::urls::params_view parameters = url.params();
        const auto found = parameters.find(name);
        return found == parameters.end() ? std::nullopt : parseNumber(std::string((*found).value));
    }

    void countRead(const std::string& key)
    {
        if (key == instancesKey)
            ++this->counters.instanceReads;
        else if (key == manifestKey)
            ++this->counters.manifestReads;
        else
            ++this->counters.valueReads;
    }

    void answer(const std::shared_ptr<Session>& session, const std::string& key)
    {
        const Value value = this->visibleValue(key);
        Response response = value.bytes ? responseTo(session->request, http::status::ok, *value.bytes)
                                        : responseTo(session->request, http::status::not_found);
        response.set("X-Index", std::to_string(value.index));
        session->respond(std::move(response), this->delay);
    }

    void answerWatches()
    {
        std::vector<Watch> due;
        std::erase_if(this->watches, [&](const Watch& watch) {
            const bool isDue = this->visibleValue(watch.key).index != watch.knownIndex;
            if (isDue)
                due.push_back(watch);
            return isDue;
        });
        for (const Watch& watch : due)
            this->answer(watch.session, watch.key);
    }

    //-------------------------------------------------------------------------
    // Control port
    //-------------------------------------------------------------------------

    void serveControl(const std::shared_ptr<Session>& session)
    {
        const Request& request = session->request;
        const std::string target(request.target());
        const size_t slash = target.find('/', 1);
        const std::string command = target.substr(0, slash);
        const std::string argument = slash == std::string::npos ? std::string() : target.substr(slash + 1);
        http::status status = http::status::ok;
        std::string answer;
        if (request.method() == http::verb::get && command == "/counters")
            answer = this->countersText();
        else if (const std::optional<std::string> error
            = this->executeCommand(request.method(), command, argument, request.body())) {
            status = http::status::bad_request;
            answer = *error + "\n";
        }
        session->respond(responseTo(request, status, answer), Milliseconds(0));
    }

    // Executes a command of the control port. Returns an error message if it fails.
    std::optional<std::string> executeCommand(
        http::verb verb, const std::string& command, const std::string& argument, const std::string& body)
    {
        const bool isTrue = body == "true";
        const std::optional<uint64_t> number = parseNumber(body);
        if (command == "/keys" && !argument.empty() && argument != instancesKey) {
            const bool isRemoval = verb == http::verb::delete_;
            this->change({ { argument, isRemoval ? std::nullopt : std::optional<std::string>(body) } });
        } else if (command == "/publish") {
            return this->publishObject(body);
        } else if (command == "/publish-directory") {
            const Result<bool> published = this->publishDirectory(body);
            return published ? std::nullopt : std::optional<std::string>(published.error().message);
        } else if (command == "/instances" && verb == http::verb::delete_) {
            this->removeMember(argument);
        } else if (command == "/instances") {
            const Result<std::vector<Member>> members = decodeMembers(body);
            if (!members)
                return members.error().message;
            this->setMembers(members.value());
        } else if (command == "/leaving") {
            return this->markLeaving(argument, isTrue)
                ? std::nullopt
                : std::optional<std::string>("the instance list has no instance named " + argument);
        } else if (command == "/down") {
            this->setDown(isTrue);
        } else if (command == "/stale") {
            this->setStale(isTrue);
        } else if (command == "/delay-ms" && number) {
            this->delay = Milliseconds(*number);
        } else if (command == "/rollback" && number) {
            return this->rollBack(*number)
                ? std::nullopt
                : std::optional<std::string>("the number of changes is 0 or exceeds the recorded history");
        } else {
            return "unknown request; the control port accepts:\n" + controlHelp;
        }
        return std::nullopt;
    }

    std::optional<std::string> publishObject(const std::string& body)
    {
        boost::json::error_code error;
        const boost::json::value document = boost::json::parse(body, error);
        if (error || !document.is_object())
            return "the body is not a JSON object of keys and values";
        std::map<std::string, std::string> keys;
        for (const boost::json::key_value_pair& member : document.get_object()) {
            if (!member.value().is_string())
                return "the value of key '" + std::string(member.key()) + "' is not a string";
            keys[std::string(member.key())] = std::string(member.value().get_string());
        }
        this->publish(keys);
        return std::nullopt;
    }

    std::string countersText() const
    {
        return boost::json::serialize(boost::json::object { { "manifestReads", this->counters.manifestReads },
            { "valueReads", this->counters.valueReads }, { "instanceReads", this->counters.instanceReads },
            { "watches", this->counters.watches }, { "refusedWrites", this->counters.refusedWrites },
            { "connections", this->counters.connections } });
    }

    asio::io_context context;
    tcp::acceptor readerAcceptor;
    tcp::acceptor controlAcceptor;
    const tcp::endpoint readerEndpoint;
    const tcp::endpoint controlPortEndpoint;
    State state;
    std::optional<State> staleState; // state that readers see while the platform is stale
    std::deque<State> history;
    uint64_t lastIndex = 0;
    bool isDown = false;
    std::vector<Watch> watches;
    std::vector<std::weak_ptr<Session>> sessions; // of the reader port
    std::thread thread;
};

FakePlatform::FakePlatform(const FakePlatformOptions& options)
    : server(std::make_unique<Server>(options))
{
}

FakePlatform::~FakePlatform() = default;

Endpoint FakePlatform::endpoint() const { return this->server->endpoint(); }

Endpoint FakePlatform::controlEndpoint() const { return this->server->controlEndpoint(); }

void FakePlatform::setKey(const std::string& key, const std::string& bytes)
{
    this->server->runOnServerThread([&] { this->server->change({ { key, bytes } }); });
}

void FakePlatform::removeKey(const std::string& key)
{
    this->server->runOnServerThread([&] { this->server->change({ { key, std::nullopt } }); });
}

void FakePlatform::publish(const PublishedConfig& published)
{
    this->server->runOnServerThread([&] { this->server->publish(platformKeys(published)); });
}

Result<bool> FakePlatform::publishDirectory(const std::filesystem::path& directory)
{
    return this->server->runOnServerThread([&] { return this->server->publishDirectory(directory); });
}

void FakePlatform::setMember(const Member& member)
{
    this->server->runOnServerThread([&] { this->server->setMember(member); });
}

void FakePlatform::setMembers(const std::vector<Member>& members)
{
    this->server->runOnServerThread([&] { this->server->setMembers(members); });
}

void FakePlatform::removeMember(const std::string& name)
{
    this->server->runOnServerThread([&] { this->server->removeMember(name); });
}

bool FakePlatform::markLeaving(const std::string& name, bool leaving)
{
    return this->server->runOnServerThread([&] { return this->server->markLeaving(name, leaving); });
}

void FakePlatform::setDown(bool down)
{
    this->server->runOnServerThread([&] { this->server->setDown(down); });
}

void FakePlatform::setStale(bool stale)
{
    this->server->runOnServerThread([&] { this->server->setStale(stale); });
}

void FakePlatform::setDelay(Milliseconds delay)
{
    this->server->runOnServerThread([&] { this->server->delay = delay; });
}

bool FakePlatform::rollBack(size_t changes)
{
    return this->server->runOnServerThread([&] { return this->server->rollBack(changes); });
}

FakePlatformCounters FakePlatform::counters() const
{
    return this->server->runOnServerThread([&] { return this->server->counters; });
}

} // namespace wasabicroft
